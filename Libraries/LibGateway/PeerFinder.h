#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibFleet/Forwarding.h>
#include <LibGateway/GatewayState.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

namespace Briarbend::Gateway
{

/// Finds instances that reach targets for the requests of one that does not. Nothing is sent while targets are reached.
class PeerFinder
{
public:
    PeerFinder(GatewayState &state, Core::TimerService &timers, Coordination::PeerLink &peers);

    /// The caller address of the peer with the most room; waits shortly for offers if there is none. Nothing if no peer offers.
    boost::asio::awaitable<std::optional<Core::TargetId>> findPeer(std::vector<std::string> excludedAddresses);
    /// Whether any peer has offered lately.
    bool hasOffers() const;

private:
    /// Waits until an offer arrives, at the longest for OFFER_TIMEOUT.
    boost::asio::awaitable<void> waitForOffer();
    void receive(std::string_view bytes);
    void requestOffers(Core::TimePoint now);

    GatewayState &state;
    Core::TimerService &timers;
    Coordination::PeerLink &peers;
    Fleet::PeerOffers offers;
    std::optional<Core::TimePoint> requestedAt;
    /// Timers of the requests that wait for an offer. Shared with them, since they may end after this object.
    std::shared_ptr<std::set<boost::asio::steady_timer *>> waiting{std::make_shared<std::set<boost::asio::steady_timer *>>()};
    std::unique_ptr<Core::TimerSubscription> subscription;
};

} // namespace Briarbend::Gateway
