#pragma once

#include <LibCoordination/PeerLink.h>
#include <LibCoordination/RolloutMessage.h>
#include <LibCoordination/RolloutRoles.h>
#include <LibGateway/FleetPresence.h>
#include <LibGateway/GatewayState.h>
#include <LibNetwork/WallClock.h>
#include <LibRollout/Rollout.h>

namespace Briarbend::Gateway
{

/// Executes operators' orders to roll out another version of a service. Every instance advances by the time since the rollout was started
/// and by the evidence of all instances; the store holds the decisions.
class RolloutDriver
{
public:
    RolloutDriver(GatewayState &state, Core::TimerService &timers, PlatformStore &store, Coordination::PeerLink &peers);

    /// Applies an order as the store holds it.
    void applyOrder(const RolloutOrder &order, Revision revision);
    /// Stops tracking the rollout of a service whose order was removed from the store.
    void removeOrder(const std::string &service);
    /// All orders, by their name in the store.
    std::map<std::string, RolloutOrder> orders() const;
    /// Takes over the progress of an order that a peer knows and the store has lost.
    void adoptProgress(const RolloutOrder &order);
    /// Whether the store has lost progress that is known here and has to be written again.
    bool isAheadOfStore() const;

private:
    struct TrackedRollout {
        RolloutOrder order;
        Revision revision{};
        /// The progress that the store shows, which is behind that of the order after the store was restored.
        RolloutProgress stored{};
        /// Set while the order runs.
        std::unique_ptr<Rollout::RolloutState> state;
        Rollout::LoadLevel level{Rollout::LoadLevel::Low};
        /// When this instance first had a state to write.
        std::optional<Core::TimePoint> writeDueSince;
        bool isWriting{false};
        Coordination::RolloutRoles roles;
        /// Since when this instance has been one of the evaluators.
        std::optional<Core::TimePoint> evaluatorSince;
        /// As last logged.
        Rollout::EvidenceScope scope{Rollout::EvidenceScope::Own};
        /// When this instance next sends its evidence or its confirmation.
        Core::TimePoint nextReportAt;
        /// Members that have confirmed that they no longer send requests to the old version.
        std::set<Core::InstanceId> confirmed;
    };

    std::optional<VersionSplit> split(const Core::ServiceName &service, const std::string &route) const;
    /// Follows a request from when it is sent until the result is destroyed.
    std::shared_ptr<void> trackPending(const AttemptObservation &observation);
    void observe(const AttemptObservation &observation);
    /// Starts or ends what follows from the progress of the order.
    void followProgress(TrackedRollout &rollout);
    void startRollout(TrackedRollout &rollout);
    /// Fraction of the requests between order and deadline that a bad version may receive.
    double allowedExposure(const TrackedRollout &rollout) const;
    void updateEvaluatorSince(TrackedRollout &rollout, Core::TimePoint now) const;
    /// Whose evidence this instance has.
    Rollout::EvidenceCoverage evidenceCoverage(const TrackedRollout &rollout, Core::TimePoint now) const;
    void logScope(TrackedRollout &rollout, Rollout::EvidenceScope scope, Core::TimePoint now) const;
    /// Best place of this instance among those that write the state of a rollout that has not ended; nothing if there is none.
    std::optional<std::size_t> bestWriteRank() const;
    void judgeTrial(TrackedRollout &rollout, Core::TimePoint now);
    void logStatus(const TrackedRollout &rollout, const Rollout::Status &status) const;
    void broadcastStatus(const Rollout::Status &status);
    void tick(Core::TimePoint now);
    /// Advances the rollout if an evaluation is due. Call it at ticks and after new evidence.
    void advanceWhenDue(TrackedRollout &rollout);
    void refreshTargets(TrackedRollout &rollout) const;
    /// Sends what the evaluators need, in intervals that grow with the number of instances.
    void report(TrackedRollout &rollout, Core::TimePoint now);
    void sendEvidence(TrackedRollout &rollout);
    void sendConfirmation(TrackedRollout &rollout);
    void gossipStatuses();
    void receive(std::string_view bytes);
    void applyStatus(const Rollout::Status &status);
    /// Whether the store has lost progress of the order.
    static bool isLost(const TrackedRollout &rollout);
    /// The state to write to the store; nothing if the store is up to date.
    std::optional<RolloutState> stateToWrite(const TrackedRollout &rollout, Core::TimePoint now) const;
    bool isConfirmedByAll(const TrackedRollout &rollout, Core::TimePoint now) const;
    void writeWhenDue(const std::string &service, TrackedRollout &rollout, Core::TimePoint now);
    boost::asio::awaitable<void> write(std::string service, RolloutProgress progress);
    std::size_t writeRank(const TrackedRollout &rollout) const;
    bool hasOldInFlight(const TrackedRollout &rollout) const;

    GatewayState &state;
    PlatformStore &store;
    Coordination::PeerLink &peers;
    Network::SteadyWallClock clock;
    FleetPresence presence;
    std::map<std::string, TrackedRollout> rollouts;
    std::vector<std::unique_ptr<Core::TimerSubscription>> subscriptions;
    std::size_t nextTurn{0};
};

} // namespace Briarbend::Gateway
