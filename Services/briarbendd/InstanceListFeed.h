#pragma once

#include <LibCoordination/PeerLink.h>

#include <LibStore/ObjectStore.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <vector>

namespace Briarbend::Daemon
{

/// Keeps the platform's lagging list of instances. While the store is down the last list stays; an instance that starts meanwhile takes
/// it from a peer.
class InstanceListFeed
{
public:
    using ListCallback = std::function<void(const std::vector<Store::ListedInstance> &)>;

    InstanceListFeed(boost::asio::io_context &context,
                     Store::ObjectStore &store,
                     Coordination::PeerLink &peers,
                     std::chrono::milliseconds interval,
                     ListCallback callback);
    /// Starts polling; goes on until the io_context stops.
    void start();

    const std::vector<Store::ListedInstance> &list() const;

private:
    boost::asio::awaitable<void> poll();
    void take(std::vector<Store::ListedInstance> newList);
    void receive(const std::string &peer, std::string_view bytes);
    void askPeers();
    /// The platform's list with what peers said of leaving instances.
    std::vector<Store::ListedInstance> effectiveList() const;
    void tellLeaving(const std::vector<Store::ListedInstance> &newList);
    void hearLeaving(const std::string &address);
    void apply();

    boost::asio::io_context &context;
    Store::ObjectStore &store;
    Coordination::PeerLink &peers;
    std::chrono::milliseconds interval;
    ListCallback callback;
    /// As the platform told it last.
    std::vector<Store::ListedInstance> platformList;
    /// With the peers' news; what the instance decides by.
    std::vector<Store::ListedInstance> current;
    /// Addresses that a peer saw leaving, and when it said so.
    std::map<std::string, Core::TimePoint> heardLeaving;
    bool hasList{false};
};

} // namespace Briarbend::Daemon
