#pragma once

#include <LibClaims/Operation.h>
#include <LibClaims/Settings.h>
#include <LibRejection/Refusal.h>

#include <optional>
#include <variant>

/// One submission of a request that runs at most once, at the instance that serves it.
namespace Briarbend::Claims
{

enum class RequestPhase {
    /// The claim is on its way to the bucket's owner.
    ClaimingAtOwner,
    /// The claim is on its way through this instance's own committer.
    ClaimingLocally,
    /// Another attempt holds the key; the claim is made again at a later time.
    Waiting,
    /// The claim is granted and nothing was sent.
    Holding,
    /// The request was or is being sent.
    Sent,
    /// The caller has its answer, or is gone. A grant that arrives now is given back, never used.
    Ended,
};

/// State of one submission.
struct RequestClaim {
    Digest key;
    Digest requestDigest;
    AttemptId attempt;
    Core::InstanceId instance;
    /// The caller gets its final answer by then.
    Core::TimePoint deadline;
    RequestPhase phase{RequestPhase::ClaimingAtOwner};
    std::chrono::milliseconds pollInterval{};
    Core::TimePoint wakeAt;
    /// True once a claim may have reached the store and the key was not given back.
    bool mayHoldKey{false};
    /// True once anything was sent.
    bool wasSent{false};
};

/// Whom an operation goes to.
enum class CommitPath {
    Owner,
    /// This instance's own committer of the bucket.
    Local,
};

/// Submit the operation. A claim's result goes to onClaimResult. Records and releases are repeated, at the owner and through the own
/// committer, until one is Stored or the process ends; the submission does not wait for them.
struct SubmitOperation {
    Operation operation;
    CommitPath path{CommitPath::Owner};
};
/// The claim is granted: choose a target, then ask beginSending.
struct ChooseTarget {
};
/// Write the request to the target now.
struct SendNow {
};
struct Replay {
    RecordedAnswer answer;
};
/// Give the caller the final answer.
struct Refuse {
    Rejection::Refusal refusal;
};

/// What to do after an event. Every member may be absent; an empty decision means to wait.
struct RequestDecision {
    /// The step towards the caller or a target.
    std::variant<std::monostate, ChooseTarget, SendNow, Replay, Refuse> action;
    /// The step towards the bucket.
    std::optional<SubmitOperation> submit;
    /// Call onTimer at this time, if the submission has not ended before.
    std::optional<Core::TimePoint> wakeAt;
};

/// Starts a submission with its claim, sent to the bucket's owner.
RequestDecision beginClaim(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall);

/// Takes the result of a claim, from either path and also late or twice. `isHolderGone` tells, where the result is HeldByOtherAttempt,
/// that the holding instance is known to have ended: the outcome is then as good as unknown, and the caller need not wait.
RequestDecision onClaimResult(RequestClaim &request,
                              const ClaimResult &result,
                              bool isHolderGone,
                              const Settings &settings,
                              Core::TimePoint now,
                              Core::WallTime wall);

/// Takes the passing of time: a silent owner, the next look at a key that runs elsewhere, or the deadline.
RequestDecision onTimer(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall);

/// Must be asked directly before the first byte goes out, and again before a repeat to another target after a refusal that proves
/// that nothing ran. The only way to SendNow.
RequestDecision beginSending(RequestClaim &request, Core::TimePoint now, Core::WallTime wall);

/// The attempt was sent and certainly not run: the target said so, or the connection could not be opened. The key is still held and
/// the request may go to another target, again through beginSending.
RequestDecision onRefusedByTarget(RequestClaim &request);

/// The target answered in full. Pass the answer on to the caller besides: that needs not wait for the record. May also follow
/// onFailed, where the answer comes after the caller's deadline: the record then replaces the unknown outcome.
RequestDecision onAnswered(RequestClaim &request, RecordedAnswer answer);

/// The submission ends without an answer from a target: no target, overload, a lost connection, the caller gone, a stop. Gives the
/// key back where the progress proves that nothing ran, and else records the outcome as unknown. The refusal's `earlier` is filled
/// in here.
RequestDecision onFailed(RequestClaim &request, Rejection::Refusal refusal, Core::WallTime wall);

/// The caller is gone. A submission that was not sent ends; one that was sent goes on, so that its answer is recorded.
RequestDecision onCallerGone(RequestClaim &request, Core::WallTime wall);

} // namespace Briarbend::Claims
