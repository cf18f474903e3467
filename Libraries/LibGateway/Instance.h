#pragma once

#include <LibCoordination/QuarantineLink.h>
#include <LibGateway/CallerFrontend.h>
#include <LibGateway/ChangeDisseminator.h>
#include <LibGateway/Reflector.h>
#include <LibGateway/RolloutDriver.h>
#include <LibGateway/TargetDisseminator.h>
#include <LibNetwork/AsioTimerService.h>
#include <LibNetwork/HttpServer.h>

namespace Briarbend::Gateway
{

/// An instance that woke from a freeze while the store is away serves, and tells peers, what it knows after this time: as long as changes
/// may take to come into force.
constexpr std::chrono::milliseconds WAKE_PATIENCE{2000};

/// One gateway process: builds the parts, connects them, and stops them in order.
class Instance
{
public:
    /// Listens at once on all addresses. Throws std::exception where an address is taken. The store must outlive the instance.
    Instance(
        boost::asio::io_context &context, Settings::GatewaySettings settings, Dialect dialect, PlatformStore &store, std::uint64_t seed);

    /// Takes over what may change while the process runs. A file with problems changes nothing.
    void reload(const std::string &file);
    /// Begins a planned stop: not ready at once, then until the balancer has moved on and the last request has its answer.
    void beginStop(std::function<void()> onStopped);

private:
    std::unique_ptr<Reflector> makeFollower(ObjectKind kind);
    void takeChanges(ObjectKind kind, Revision previous, const Changes &changes);
    Reflector &followerOf(ObjectKind kind);
    const Reflector &followerOf(ObjectKind kind) const;
    /// Whether a peer is to be asked for a kind, as the store does not answer.
    bool lacks(ObjectKind kind) const;
    std::vector<ObjectKind> lackingKinds() const;
    /// What this instance holds of a kind, for a peer; nothing where it may be out of date.
    std::optional<Listing> snapshotOf(ObjectKind kind) const;
    std::vector<StoredObject> objectsOf(ObjectKind kind) const;
    void takeSnapshot(ObjectKind kind, const Listing &listing);
    void makeNews();
    void makeTargetNews();
    void takeRemoval(ObjectKind kind, const StoredObject &object);
    void take(const Unreadable &unreadable, const StoredObject &object);
    void take(const Fleet::RoutingConfiguration &plan, const StoredObject &object);
    void take(const Fleet::TargetRecord &record, const StoredObject &object);
    void take(const RolloutOrder &order, const StoredObject &object);
    void take(const Core::DataCentreName &dataCentre, const StoredObject &object);
    void noteStoreAnswer();
    void noteStoreFailure(const std::string &reason);
    void watchForFreeze(Core::TimePoint now);
    void afterFreeze(std::chrono::milliseconds length);
    void expireTargets(Core::TimePoint now);
    void startPeers(std::uint64_t seed);
    void countInstances();
    void finishStopWhenIdle(Core::TimePoint now);
    bool isReady() const;
    boost::asio::awaitable<Network::Response> answerReady(Network::Request request);
    boost::asio::awaitable<Network::Response> answerOperator(Network::Request request);

    boost::asio::io_context &context;
    GatewayState state;
    PlatformStore &store;
    Network::AsioTimerService timers;
    std::vector<std::unique_ptr<Reflector>> followers;
    /// The store's name of the configuration in force.
    std::string planName;
    std::unique_ptr<Peers::Transport> transport;
    std::unique_ptr<Coordination::PeerLink> peers;
    std::unique_ptr<Coordination::QuarantineLink> quarantine;
    std::unique_ptr<ChangeDisseminator> news;
    std::unique_ptr<TargetDisseminator> targetNews;
    std::unique_ptr<RolloutDriver> rollouts;
    std::unique_ptr<CallerFrontend> callers;
    std::unique_ptr<Network::HttpServer> readyServer;
    std::unique_ptr<Network::HttpServer> operatorServer;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
    std::function<void()> onStopped;
    Core::TimePoint stopBegan;
    Core::TimePoint lastTick;
    std::chrono::nanoseconds lastTickAtBoot{0};
    Core::TimePoint wokeAt;
    bool isStoreLost{false};
};

} // namespace Briarbend::Gateway
