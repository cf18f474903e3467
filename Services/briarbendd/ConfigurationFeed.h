#pragma once

#include <LibCoordination/PeerLink.h>

#include <LibConfiguration/Model.h>
#include <LibStore/ObjectStore.h>

#include <boost/asio/io_context.hpp>

namespace Briarbend::Daemon
{

/// Brings accepted sections into force: from the store at a few watching instances, from peers at all others. A version once in force is
/// never replaced by a lower one.
class ConfigurationFeed
{
public:
    using SectionsCallback = std::function<void(const Configuration::Sections &)>;

    ConfigurationFeed(boost::asio::io_context &context,
                      Store::ObjectStore &store,
                      Coordination::PeerLink &peers,
                      SectionsCallback callback);
    /// Starts watching; goes on until the io_context stops.
    void start();
    /// Takes the sections that gossip brought.
    void takeFromPeers(const std::vector<Gossip::SectionText> &changed);

    /// Takes a section from whoever wrote it and got the store's acceptance. Throws Document::DocumentError where it is not allowed.
    void takeAccepted(const Gossip::SectionText &accepted);

    const Configuration::Sections &sections() const;

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> refresh();
    boost::asio::awaitable<void> waitForNews();
    bool readSection(const std::string &key, const Store::Object &object);
    bool isWatcher() const;
    bool bringIntoForce(const Gossip::SectionText &text);

    boost::asio::io_context &context;
    Store::ObjectStore &store;
    Coordination::PeerLink &peers;
    SectionsCallback callback;
    Configuration::Sections inForce;
    Store::Version revision{0};
};

} // namespace Briarbend::Daemon
