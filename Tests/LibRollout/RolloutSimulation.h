#pragma once

#include <LibRollout/Rollout.h>

#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace Briarbend::Rollout
{

/// Fault of the new version, if any.
enum class InjectedFault {
    None,
    FailsAlways,
    FailsSometimes,
    Slow,
    FailsUnderLoad,
    SlowUnderLoad,
    FailsLater,
    SlowLater,
    FailsOnOneRoute,
    SlowOnOneRoute,
};

struct SimulationOutcome {
    Phase phase{Phase::Waiting};
    Fault fault{Fault::None};
    /// Time from the rollout's start to its last phase change.
    std::chrono::milliseconds endedAfter{};
    /// Share of the new version in all requests up to the first one that the fault affected.
    double shareBeforeFault{0};
    /// Requests sent to the new version later than two seconds after that first one.
    std::size_t lateRequestsToNew{0};
    std::optional<std::chrono::milliseconds> firstHarmAfter;
};

/// Simulates thirteen instances, twenty targets of each version with six slots, and noisy neighbours that slow targets down for
/// milliseconds to a second. Evidence takes about 300 ms from one instance to another, statuses some milliseconds.
class RolloutSimulation
{
public:
    RolloutSimulation(std::uint64_t seed, InjectedFault injectedFault);

    SimulationOutcome run();

private:
    static constexpr std::size_t INSTANCES = 13;
    static constexpr std::size_t TARGETS = 20;

    struct Target {
        std::uint32_t inFlight{0};
        std::uint32_t completed{0};
        double noise{1};
        std::int64_t noiseUntil{0};
    };
    /// One request in flight. Times are microseconds since the rollout's start.
    struct InFlightRequest {
        std::int64_t endsAt;
        std::int64_t startedAt;
        std::size_t instance;
        std::size_t target;
        Observation observation;

        bool operator>(const InFlightRequest &other) const
        {
            return this->endsAt > other.endsAt;
        }
    };
    struct Message {
        std::int64_t at;
        std::size_t from;
        std::size_t to;
        std::shared_ptr<const MemberEvidence> evidence;
        std::optional<Status> status;
        bool isUrgent{false};

        bool operator>(const Message &other) const
        {
            return this->at > other.at;
        }
    };
    template<typename Item>
    using EarliestFirst = std::priority_queue<Item, std::vector<Item>, std::greater<>>;

    Core::WallTime wallNow() const;
    Target &targetOf(VersionRole role, std::size_t index);
    double noiseOf(Target &target);
    void startRequest();
    std::size_t pickTarget(VersionRole role, std::size_t instance);
    /// True where the injected fault affects one request to the new version.
    bool isAffected(const TrafficSegment &segment, std::uint32_t inFlight);
    void completeRequests();
    void gossip(std::size_t tick);
    void push(std::size_t from, const std::optional<Status> &status);
    /// Advances the rollout at one instance, if an evaluation is due.
    void evaluate(std::size_t index);
    void pushUrgentEvidence(std::size_t from);
    void deliverMessages();

    Core::Random random;
    InjectedFault injectedFault;
    std::int64_t now{0};
    std::vector<Core::InstanceId> names;
    std::vector<RolloutState> states;
    std::vector<std::size_t> evaluators;
    std::vector<Target> oldTargets;
    std::vector<Target> newTargets;
    std::vector<Core::TargetId> oldNames;
    std::vector<Core::TargetId> newNames;
    EarliestFirst<InFlightRequest> inFlightRequests;
    EarliestFirst<Message> pendingMessages;
    std::size_t sent{0};
    std::size_t sentToNew{0};
    SimulationOutcome outcome;
};

} // namespace Briarbend::Rollout
