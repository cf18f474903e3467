#pragma once

#include <LibRollout/Rollout.h>

#include <memory>
#include <optional>
#include <queue>
#include <vector>

namespace Briarbend::Rollout
{

/// How the new version is bad, if it is.
enum class Badness {
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

struct WorldOutcome {
    Phase phase{Phase::Waiting};
    Fault fault{Fault::None};
    /// Time from the move's start to its end.
    std::chrono::milliseconds endedAfter{};
    /// Part of all requests up to the first one harmed by the fault that went to the new version.
    double partBeforeFault{0};
    /// Requests sent to the new version later than two seconds after that first one.
    std::size_t sentTooLate{0};
    std::optional<std::chrono::milliseconds> faultShownAfter;
};

/// Thirteen instances, twenty targets of each version with six slots, and neighbours that slow targets down for milliseconds to a
/// second. Evidence takes about 300 ms from one instance to another, statuses some milliseconds.
class RolloutWorld
{
public:
    RolloutWorld(std::uint64_t seed, Badness badness);

    WorldOutcome run();

private:
    static constexpr std::size_t INSTANCES = 13;
    static constexpr std::size_t TARGETS = 20;

    struct Target {
        std::uint32_t inFlight{0};
        std::uint32_t completed{0};
        double noise{1};
        std::int64_t noiseUntil{0};
    };
    /// One request on its way; times are microseconds since the move's start.
    struct Flight {
        std::int64_t endsAt;
        std::int64_t startedAt;
        std::size_t instance;
        std::size_t target;
        Observation observation;

        bool operator>(const Flight &other) const
        {
            return this->endsAt > other.endsAt;
        }
    };
    struct Delivery {
        std::int64_t at;
        std::size_t from;
        std::size_t to;
        std::shared_ptr<const MemberEvidence> evidence;
        std::optional<Status> status;
        bool isUrgent{false};

        bool operator>(const Delivery &other) const
        {
            return this->at > other.at;
        }
    };
    template<typename Item>
    using Earliest = std::priority_queue<Item, std::vector<Item>, std::greater<>>;

    Core::WallTime wall() const;
    Target &targetOf(VersionRole role, std::size_t index);
    double noiseOf(Target &target);
    void arrive();
    std::size_t pickTarget(VersionRole role, std::size_t instance);
    /// Latency factor and failure of one request to the new version.
    bool isHarmed(const TrafficSegment &segment, std::uint32_t inFlight);
    void complete();
    void gossip(std::size_t tick);
    void push(std::size_t from, const std::optional<Status> &status);
    void pushUrgentEvidence(std::size_t from);
    void deliver();

    Core::Random random;
    Badness badness;
    std::int64_t now{0};
    std::vector<Core::InstanceId> names;
    std::vector<RolloutState> states;
    std::vector<Target> oldTargets;
    std::vector<Target> newTargets;
    std::vector<Core::TargetId> oldNames;
    std::vector<Core::TargetId> newNames;
    Earliest<Flight> flights;
    Earliest<Delivery> deliveries;
    std::size_t sent{0};
    std::size_t sentToNew{0};
    WorldOutcome outcome;
};

} // namespace Briarbend::Rollout
