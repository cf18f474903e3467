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

/// A protection that the fake environment removes, to show that the checker sees its absence.
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

/// What a history shows against the promises.
enum class Violation {
    RanTwice,
    RanDespiteRefusal,
    WrongAnswer,
    NoFinalAnswer,
    OutcomeTurnedAway,
};

/// Several instances, one bucket in a store, one target and callers, driven step by step. Each step and its subject come from a list
/// of numbers, so that RapidCheck can shrink a failing run. Messages are delivered in any order, lost and repeated; instances crash
/// and freeze between any two steps; store calls fail, take effect late, or lose their answers; owners are chosen at random, so that
/// instances disagree about them.
class ClaimWorld
{
public:
    ClaimWorld(std::vector<std::uint32_t> choices, Mutation mutation);

    /// Runs all choices, then lets everything heal and finish.
    void run();
    /// Submits every key once, without any fault.
    void runCalmly(std::size_t keys);

    /// Empty where all promises hold.
    std::set<Violation> violations() const;
    std::size_t runCount() const;
    std::size_t replayCount() const;
    std::size_t notRunCount() const;

private:
    static constexpr std::size_t INSTANCES = 3;
    static constexpr std::size_t KEYS = 4;

    struct Submission {
        std::size_t key;
        RequestClaim claim;
        std::size_t instance;
        std::uint32_t incarnation;
        std::size_t begunAtStep;
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
        Core::TimePoint repeatAt;
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
    bool isHere(std::size_t instance, std::uint32_t incarnation) const;
    void step();
    void heal();
    void submitNew(std::size_t key, std::size_t digest);
    void advance(std::chrono::milliseconds duration);
    void boot(std::size_t instance);
    void disturbMessage();
    void interfereWithSubmission();

    void deliver(std::size_t index);
    bool isDeliverable(const Message &message) const;
    void handle(const OperationMessage &message);
    void handle(const ResultMessage &message);
    void handle(const StoreCall &call);
    void handle(const StoreReply &reply);
    void handle(const TargetRequest &request);
    void handle(const TargetReply &reply);

    void callStore(const StoreCall &call, bool isAnswerLost);
    void submitTo(std::size_t instance, const Origin &origin, const Operation &operation);
    void follow(std::size_t instance, CommitterStep step);
    void follow(std::size_t submission, RequestDecision decision);
    void trySending(std::size_t submission);
    void fail(std::size_t submission, Rejection::Reason reason, Rejection::RequestProgress progress);
    void noteOutcome(const ResultMessage &message);

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
    bool wasOutcomeTurnedAway{false};
    std::uint64_t nextOperation{0};
    std::uint64_t nextCall{0};
    std::set<std::uint64_t> openCalls;
    std::uint64_t storeVersion{0};
    std::vector<std::uint8_t> storeValue;
};

} // namespace Briarbend::Claims
