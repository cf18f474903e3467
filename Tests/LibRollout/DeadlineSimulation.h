#pragma once

#include <LibRollout/Rollout.h>

#include <memory>
#include <queue>
#include <vector>

namespace Briarbend::Rollout
{

/// What is wrong with the new version.
enum class BadKind {
    None,
    Errors,
    Slow,
    ErrorsUnderLoad,
    ErrorsOnOneRoute,
    ErrorsLater,
};

const char *nameOf(BadKind kind);

/// From some time on only some instances go on, or two parts of them do without reaching each other.
struct Division {
    std::chrono::milliseconds at{0};
    /// Size of the first part.
    std::size_t remaining{0};
    /// The others go on as well.
    bool isPartition{false};
    /// A verdict that one part has written to the store reaches the other.
    bool isStoreReachable{true};
};

struct DeadlineScenario {
    BadKind kind{BadKind::None};
    /// Portion of the requests that go wrong.
    double portion{0};
    /// How much longer those of a slow version take.
    double timesSlower{8};
    std::chrono::milliseconds length{16'000};
    double requestsPerSecond{92};
    /// All instances end then and start again with no memory 1.5 s later.
    std::optional<std::chrono::milliseconds> restartAt{};
    /// A third of the traffic more from then on, for three seconds.
    std::optional<std::chrono::milliseconds> burstAt{};
    /// Share of the old version's targets that take five times as long.
    double slowOldShare{0};
    std::size_t instances{19};
    std::optional<Division> division{};
};

struct DeadlineOutcome {
    /// Of the first instance that is left at the deadline.
    Status status;
    std::size_t requests{0};
    std::size_t requestsToNew{0};
    /// Requests sent to the new version later than five seconds after its fiftieth bad answer.
    std::size_t requestsAfterRollbackBound{0};
    /// The new version's answers that count for the verdict.
    std::uint64_t answersJudged{0};
};

/// More than a tenth of the requests and fifty reached the new version, or any that was sent too late.
bool isExposed(const DeadlineOutcome &outcome);

/// Simulates instances that roll out a version by a deadline: as many targets as the traffic needs, of which a quarter is five
/// times slower for 150 ms at a time; the new ones are cold for three seconds.
class DeadlineSimulation
{
public:
    DeadlineSimulation(const DeadlineScenario &simulatedScenario, std::uint64_t seed);

    DeadlineOutcome run();

private:
    struct Target {
        std::uint32_t inFlight{0};
        bool isSlow{false};
        bool isNoisy{false};
        std::int64_t noiseEndsAt{0};
    };
    struct InFlight {
        std::int64_t endsAt{0};
        std::size_t instance{0};
        std::size_t generation{0};
        std::size_t target{0};
        bool isBad{false};
        Observation observation;
        std::shared_ptr<void> pending;

        bool operator>(const InFlight &other) const
        {
            return this->endsAt > other.endsAt;
        }
    };

    Core::WallTime wallNow() const;
    void startInstances();
    void advance();
    void sendRequest();
    void completeRequests();
    std::size_t pickTarget(VersionRole role, std::size_t instance);
    bool isNoisy(Target &target);
    bool isAffected(const Observation &observation, const Target &target);
    double workMilliseconds();
    bool areInstancesUp() const;
    bool isDivided() const;
    /// Whether messages of one instance reach another.
    bool isReached(std::size_t from, std::size_t to) const;
    bool isLost(std::size_t instance) const;
    /// The instances that one takes for alive.
    std::vector<std::size_t> knownAlive(std::size_t instance) const;
    std::vector<std::size_t> evaluatorsKnownTo(std::size_t instance) const;
    EvidenceCoverage coverageOf(std::size_t instance) const;
    void spread(const Status &decision, std::size_t from);
    void applyStored();

    DeadlineScenario scenario;
    Core::Random random;
    /// Milliseconds since the rollout began.
    std::int64_t now{0};
    std::size_t generation{0};
    std::vector<RolloutState> states;
    /// Whether each instance belongs to the first part.
    std::vector<bool> isInFirstPart;
    /// When a verdict was written to the store.
    std::optional<std::int64_t> rolledBackAt;
    std::vector<Target> oldTargets;
    std::vector<Target> newTargets;
    std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> inFlight;
    std::vector<std::int64_t> badAnswers;
    DeadlineOutcome outcome;
};

} // namespace Briarbend::Rollout
