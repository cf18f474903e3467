#pragma once

#include <LibCore/TimerService.h>
#include <LibNetwork/HttpClient.h>
#include <LibRelay/RelayState.h>

#include <boost/asio/io_context.hpp>
#include <set>

namespace Briarbend::Daemon
{

/// Asks targets for load reports where answers brought none lately, within this instance's share of each target's probe budget.
class Prober
{
public:
    Prober(boost::asio::io_context &context, Core::TimerService &timers, Relay::RelayState &relay);

    /// Closes the connections to targets that are no longer present.
    void forget(const std::set<Core::TargetId> &present);
    std::uint64_t probesSent() const;

private:
    void tick(Core::TimePoint now);
    boost::asio::awaitable<void> probe(std::shared_ptr<Relay::ServiceState> service, Core::TargetId target);

    boost::asio::io_context &context;
    Relay::RelayState &relay;
    std::unordered_map<Core::TargetId, std::shared_ptr<Network::HttpClient>> clients;
    std::unique_ptr<Core::TimerSubscription> ticking;
    std::uint64_t sent{0};
};

} // namespace Briarbend::Daemon
