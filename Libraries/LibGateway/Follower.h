#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>
#include <LibGateway/PlatformStore.h>

#include <boost/asio/io_context.hpp>
#include <functional>

namespace Briarbend::Gateway
{

/// Keeps up with the objects of one kind: lists them once, then watches, and lists again only where the store has dropped its history.
class Follower
{
public:
    struct Callbacks {
        std::function<void(const Listing &)> onListing;
        std::function<void(const Changes &)> onChanges;
        /// Any usable answer of the store.
        std::function<void()> onAnswer;
        std::function<void(const std::string &reason)> onFailure;
    };

    Follower(boost::asio::io_context &context, PlatformStore &store, Core::Random &random, ObjectKind kind, Callbacks callbacks);

    /// Follows for as long as the follower lives. To be spawned once.
    boost::asio::awaitable<void> follow();
    /// Lists anew with the next call: what was heard may be out of date.
    void listAgain();
    /// True once a listing has come that was asked for after the last listAgain.
    bool isCurrent() const;

private:
    boost::asio::awaitable<bool> list();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds duration);

    boost::asio::io_context &context;
    PlatformStore &store;
    Core::Random &random;
    ObjectKind kind;
    Callbacks callbacks;
    Revision revision{0};
    bool needsListing{true};
    std::uint32_t failuresInRow{0};
    /// Until then answers must not come from a replica that may be behind.
    Core::TimePoint doubtfulUntil;
};

} // namespace Briarbend::Gateway
