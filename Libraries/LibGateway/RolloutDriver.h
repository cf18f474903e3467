#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibCoordination/RolloutMessage.h>
#include <LibGateway/GatewayState.h>
#include <LibNetwork/WallClock.h>
#include <LibRollout/Rollout.h>

namespace Briarbend::Gateway
{

/// Carries out operators' orders to move a service to another version. Every instance moves by the time that passed since the order was
/// taken up and by the evidence of all; the store holds what was decided.
class RolloutDriver
{
public:
    RolloutDriver(GatewayState &state, Core::TimerService &timers, PlatformStore &store, Coordination::PeerLink &peers);

    /// Takes an order as the store holds it.
    void applyOrder(const RolloutOrder &order, Revision revision);
    /// The order is gone.
    void removeOrder(const std::string &service);
    /// All orders, by the store's name of each.
    std::map<std::string, RolloutOrder> orders() const;

private:
    struct TrackedRollout {
        RolloutOrder order;
        Revision revision{0};
        /// Set while the order runs.
        std::unique_ptr<Rollout::RolloutState> state;
        Rollout::LoadLevel level{Rollout::LoadLevel::Low};
        /// When this instance saw that there is something to write.
        std::optional<Core::TimePoint> writeDueSince;
        bool isWriting{false};
        /// Since when this instance has been one of the judges, who have the evidence of all.
        std::optional<Core::TimePoint> evaluatorSince;
        /// Members that send nothing more to the old version.
        std::set<Core::InstanceId> confirmed;
    };

    std::optional<VersionSplit> split(const Core::ServiceName &service, const std::string &route) const;
    void observe(const AttemptObservation &observation);
    void startRollout(TrackedRollout &rollout);
    /// Part of the requests that the new version gets while it is on trial.
    double trialShare(const TrackedRollout &rollout) const;
    void updateEvaluatorSince(TrackedRollout &rollout, Core::TimePoint now) const;
    /// Takes the version back where its trial ends without proof that it serves.
    void rollBackIfUnproven(TrackedRollout &rollout, Core::TimePoint now);
    void logStatus(const TrackedRollout &rollout, const Rollout::Status &status) const;
    void broadcastStatus(const Rollout::Status &status);
    void tick(Core::TimePoint now);
    void advance(TrackedRollout &rollout);
    void refreshTargets(TrackedRollout &rollout) const;
    void sendEvidence(TrackedRollout &rollout);
    void sendConfirmation(TrackedRollout &rollout);
    void gossipStatuses();
    void receive(std::string_view bytes);
    void applyStatus(const Rollout::Status &status);
    /// What the store should hold beyond what it holds; nothing where it is up to date.
    std::optional<RolloutState> stateToWrite(const TrackedRollout &rollout) const;
    bool isConfirmedByAll(const TrackedRollout &rollout) const;
    void writeWhenDue(const std::string &service, TrackedRollout &rollout, Core::TimePoint now);
    boost::asio::awaitable<void> write(std::string service, RolloutProgress progress);
    std::size_t writeRank(const std::string &service) const;
    bool hasOldInFlight(const TrackedRollout &rollout) const;

    GatewayState &state;
    PlatformStore &store;
    Coordination::PeerLink &peers;
    Network::SteadyWallClock clock;
    std::map<std::string, TrackedRollout> rollouts;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
    std::size_t nextPeer{0};
};

} // namespace Briarbend::Gateway
