#pragma once

#include "ClaimsRunner.h"
#include "ConfigurationFeed.h"
#include "InstanceListFeed.h"
#include "OperatorEndpoint.h"
#include "Prober.h"
#include "RolloutRunner.h"
#include "TargetWatch.h"
#include "WarmthSpread.h"
#include <LibCoordination/QuarantineLink.h>

#include <LibNetwork/AsioTimerService.h>
#include <LibRelay/CallerListener.h>
#include <LibSettings/Settings.h>
#include <LibStore/HttpObjectStore.h>

#include <functional>

namespace Briarbend::Daemon
{

/// One entry instance: builds the parts from the settings, connects them, and stops them in order.
class Daemon
{
public:
    /// Listens at once on all addresses. Throws std::exception where an address is taken.
    Daemon(boost::asio::io_context &context, Settings::Settings settings, std::uint64_t seed);

    /// One line of JSON that names the addresses in use.
    std::string listeningLine() const;
    /// Begins a planned stop: not ready at once, listeners until the balancer has moved on, then until the last request has its answer.
    void beginStop(std::function<void()> onStopped);

private:
    void tick(Core::TimePoint now);
    void update();
    void updateColdGateMembership(Core::TimePoint now);
    void takeChanges(const Gossip::Changes &changes);
    void endListening();
    void finishStopWhenIdle();
    bool isReady() const;
    nlohmann::json dump() const;
    std::string metrics() const;
    Relay::InstancePlacement place() const;

    boost::asio::io_context &context;
    Settings::Settings settings;
    Network::AsioTimerService timers;
    Core::InstanceId instance;
    Core::TimePoint startedAt;
    Relay::RelayState relay;
    Store::HttpObjectStore store;
    std::unique_ptr<Peers::Transport> transport;
    Network::Endpoint peerEndpoint;
    std::unique_ptr<Coordination::PeerLink> peers;
    std::unique_ptr<ConfigurationFeed> configuration;
    std::unique_ptr<InstanceListFeed> instanceList;
    std::unique_ptr<WarmthSpread> warmth;
    std::unique_ptr<ClaimsRunner> claims;
    std::unique_ptr<Coordination::QuarantineLink> quarantine;
    std::unique_ptr<RolloutRunner> rollouts;
    std::unique_ptr<TargetWatch> targetWatch;
    std::unique_ptr<Prober> prober;
    std::unique_ptr<Relay::CallerListener> callers;
    std::unique_ptr<OperatorEndpoint> operators;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
    std::function<void()> onStopped;
    std::uint64_t requestsAtLastLook{0};
    Core::TimePoint quietSince;
    Core::TimePoint stopBegan;
};

} // namespace Briarbend::Daemon
