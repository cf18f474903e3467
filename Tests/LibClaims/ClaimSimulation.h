#pragma once

#include <LibClaims/BucketCommitter.h>
#include <LibClaims/RequestClaim.h>

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Briarbend::Claims
{

/// A protection that the simulation disables, to show that the checker detects its absence.
enum class Mutation {
    None,
    StoreIgnoresExpectedVersion,
    SendsWithoutClaim,
    SendsOnLateGrant,
    ReleasesAfterLostConnection,
    GrantsBeforeWrite,
    EvictsLiveClaims,
    TakesOverFromSilentHolder,
    RefusesWithoutKnowingEarlierSubmissions,
};

/// A broken guarantee that the checker finds in the history of a run.
enum class Violation {
    RanTwice,
    RanDespiteRefusal,
    WrongAnswer,
    NoFinalAnswer,
    OutcomeRejected,
};

/// Deterministic simulation of several instances, one bucket in a store, one target and callers. A list of numbers selects each step and
/// its subject, so that RapidCheck can shrink a failing run. Messages are reordered, lost and duplicated; instances crash and freeze
/// between any two steps; store calls fail, take effect late, or lose their answers; owners are chosen at random, so that instances
/// disagree about them.
class ClaimSimulation
{
public:
    ClaimSimulation(std::vector<std::uint32_t> choices, Mutation mutation);

    /// Runs all choices, then continues without faults so that every submission can finish.
    void run();
    /// Submits every key once, without faults.
    void runWithoutFaults(std::size_t keys);

    /// Empty if all guarantees hold.
    std::set<Violation> violations() const;
    std::size_t runCount() const;
    std::size_t replayCount() const;
    std::size_t notRunCount() const;

private:
    static constexpr std::size_t INSTANCE_COUNT = 3;
    static constexpr std::size_t KEY_COUNT = 4;

    struct Submission {
        std::size_t key;
        RequestClaim claim;
        std::size_t instance;
        std::uint32_t incarnation;
        std::size_t startStep;
        bool isCallerGone{false};
        std::optional<Rejection::Refusal> refusal;
        std::optional<RecordedAnswer> answer;
    };
    struct Origin {
        std::size_t submission;
        std::size_t instance;
        std::uint32_t incarnation;
        /// Index of the outcome that the operation reports, for records and releases.
        std::optional<std::size_t> outcome{};
    };
    struct Outcome {
        std::size_t submission;
        Operation operation;
        Core::TimePoint retryAt;
        bool isStored{false};
    };
    struct Instance {
        std::uint32_t incarnation{0};
        bool isFrozen{false};
        std::optional<BucketCommitter> committer;
        Core::TimePoint committerWakeAt{Core::TimePoint::max()};
        std::map<OperationId, Origin> origins;
        std::vector<Outcome> outcomes;
    };
    struct Run {
        std::size_t submission;
        std::size_t step;
        RecordedAnswer answer;
    };
    struct OperationMessage {
        Origin origin;
        std::size_t to;
        Operation operation;
    };
    struct ResultMessage {
        Origin origin;
        OperationResult result;
    };
    struct StoreCall {
        std::size_t instance;
        std::uint32_t incarnation;
        std::uint64_t call;
        StoreRequest request;
    };
    struct StoreReply {
        StoreCall call;
        StoreStatus status;
        std::uint64_t version;
        std::vector<std::uint8_t> value;
    };
    struct TargetRequest {
        std::size_t submission;
    };
    struct TargetReply {
        std::size_t submission;
        Rejection::RequestProgress progress;
        std::optional<RecordedAnswer> answer;
    };
    using Message = std::variant<OperationMessage, ResultMessage, StoreCall, StoreReply, TargetRequest, TargetReply>;

    std::size_t choose(std::size_t bound);
    bool isCurrentIncarnation(std::size_t instance, std::uint32_t incarnation) const;
    void runStep();
    void settle();
    void submitRequest(std::size_t key, std::size_t digest);
    void advanceTime(std::chrono::milliseconds duration);
    void restartInstance(std::size_t instance);
    void injectMessageFault();
    void injectSubmissionFault();

    void deliver(std::size_t index);
    bool isDeliverable(const Message &message) const;
    void handle(const OperationMessage &message);
    void handle(const ResultMessage &message);
    void handle(const StoreCall &call);
    void handle(const StoreReply &reply);
    void handle(const TargetRequest &request);
    void handle(const TargetReply &reply);

    void callStore(const StoreCall &call, bool isReplyLost);
    void submitTo(std::size_t instance, const Origin &origin, const Operation &operation);
    void execute(std::size_t instance, CommitterStep step);
    void execute(std::size_t submission, RequestDecision decision);
    void sendIfGranted(std::size_t submission);
    void failSubmission(std::size_t submission, Rejection::Reason reason, Rejection::RequestProgress progress);
    void recordOutcome(const ResultMessage &message);

    std::vector<std::uint32_t> choices;
    std::size_t nextChoice{0};
    Mutation mutation;
    Settings settings;
    Core::Random random{7};
    Core::TimePoint now;
    std::size_t steps{0};

    std::vector<Instance> instances;
    std::vector<Submission> submissions;
    std::vector<Message> messages;
    std::vector<Run> runs;
    bool wasOutcomeRejected{false};
    std::uint64_t nextOperation{0};
    std::uint64_t nextCall{0};
    std::set<std::uint64_t> pendingCalls;
    std::uint64_t storeVersion{0};
    std::vector<std::uint8_t> storeValue;
};

} // namespace Briarbend::Claims
