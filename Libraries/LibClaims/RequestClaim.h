#pragma once

#include <LibClaims/Operation.h>
#include <LibClaims/Settings.h>
#include <LibRejection/Refusal.h>

#include <optional>
#include <variant>

/// State machine of one submission of a request that runs at most once, at the instance that serves the caller.
namespace Briarbend::Claims
{

enum class RequestPhase {
    /// The claim was sent to the bucket's owner.
    ClaimingAtOwner,
    /// The claim was submitted to this instance's own committer.
    ClaimingLocally,
    /// Another attempt holds the key; the claim is retried later.
    Waiting,
    /// The claim was granted, and the request was not sent or certainly not run.
    Holding,
    /// The request was or is being sent.
    Sent,
    /// The caller has its answer or is gone. A grant that arrives now is released and never used.
    Ended,
};

/// State of one submission.
struct RequestClaim {
    Digest key;
    Digest requestDigest;
    AttemptId attempt;
    Core::InstanceId instance;
    /// Time by which the caller gets its final answer.
    Core::TimePoint deadline;
    RequestPhase phase{RequestPhase::ClaimingAtOwner};
    std::chrono::milliseconds pollInterval{};
    Core::TimePoint wakeAt;
    /// True if a claim may have reached the store and the key was not released since.
    bool mayHoldKey{false};
    /// True once the request was sent to a target.
    bool wasSent{false};
};

/// Component that commits an operation.
enum class CommitPath {
    /// The committer at the bucket's owner.
    Owner,
    /// This instance's own committer of the bucket.
    Local,
};

/// Submit the operation. Pass the result of a claim to onClaimResult. Retry records and releases, at the owner and through this
/// instance's own committer, until one is Stored or the process ends; the submission does not wait for them.
struct SubmitOperation {
    Operation operation;
    CommitPath path{CommitPath::Owner};
};
/// The claim is granted: choose a target, then call beginSending.
struct ChooseTarget {
};
/// Write the request to the target now.
struct SendNow {
};
struct Replay {
    RecordedAnswer answer;
};
/// Send the refusal to the caller as its final answer.
struct Refuse {
    Rejection::Refusal refusal;
};

/// Actions to carry out after an event. Every member may be absent; an empty decision means to wait.
struct RequestDecision {
    /// Action towards the caller or a target.
    std::variant<std::monostate, ChooseTarget, SendNow, Replay, Refuse> action;
    /// Operation on the bucket.
    std::optional<SubmitOperation> submit;
    /// Call onTimer at this time, unless the submission ends before.
    std::optional<Core::TimePoint> wakeAt;
};

/// Starts a submission by sending its claim to the bucket's owner.
RequestDecision beginClaim(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall);

/// Handles the result of a claim from either path; results may be late or duplicated. With the result HeldByOtherAttempt, `isHolderGone`
/// says that the holding instance is known to have ended: the outcome is then treated as unknown, and the caller need not wait.
RequestDecision onClaimResult(RequestClaim &request,
                              const ClaimResult &result,
                              bool isHolderGone,
                              const Settings &settings,
                              Core::TimePoint now,
                              Core::WallTime wall);

/// Handles timeouts: the owner did not answer, a key that another attempt holds is due to be polled, or the deadline passed.
RequestDecision onTimer(RequestClaim &request, const Settings &settings, Core::TimePoint now, Core::WallTime wall);

/// Must be called directly before the first byte is sent, and again before the request is retried at another target after a refusal
/// that proves that nothing ran. Only this function returns SendNow.
RequestDecision beginSending(RequestClaim &request, Core::TimePoint now, Core::WallTime wall);

/// Handles a request that was sent and certainly not run: the target said so, or the connection could not be opened. The key remains
/// held, and the request may be sent to another target after beginSending is called again.
RequestDecision onRefusedByTarget(RequestClaim &request);

/// Handles a complete answer from the target. Forward the answer to the caller as well, without waiting for the record. May
/// also be called after onFailed, if the answer arrives after the caller's deadline: the record then replaces the unknown outcome.
RequestDecision onAnswered(RequestClaim &request, RecordedAnswer answer);

/// Ends the submission without an answer from a target: no target, overload, a lost connection, the caller gone, or a shutdown. Releases
/// the key if the progress proves that nothing ran; otherwise records the outcome as unknown. Sets the refusal's `earlier`.
RequestDecision onFailed(RequestClaim &request, Rejection::Refusal refusal, Core::WallTime wall);

/// Handles a caller that is gone. A submission that was not sent ends; one that was sent continues, so that its answer is recorded.
RequestDecision onCallerGone(RequestClaim &request, Core::WallTime wall);

} // namespace Briarbend::Claims
