#pragma once

#include <LibClaims/Claim.h>

#include <chrono>
#include <variant>

namespace Briarbend::Claims
{

/// Claims the key for one attempt. Idempotent: an attempt that already holds the key is granted it again.
struct ClaimOperation {
    Digest key;
    Digest requestDigest;
    AttemptId attempt;
    Core::InstanceId instance;
    /// Wall time at the attempt's instance.
    Core::WallTime submittedAt;

    bool operator==(const ClaimOperation &) const = default;
};

/// Records the outcome of an attempt that holds the key. Retried until it is stored.
struct RecordOperation {
    Digest key;
    AttemptId attempt;
    /// Absent if the outcome is unknown.
    std::optional<RecordedAnswer> answer;

    bool operator==(const RecordOperation &) const = default;
};

/// Releases the key. Only the attempt itself may do so, and only if its request was not run and will not be sent.
struct ReleaseOperation {
    Digest key;
    AttemptId attempt;
    Core::WallTime submittedAt;

    bool operator==(const ReleaseOperation &) const = default;
};

using Operation = std::variant<ClaimOperation, RecordOperation, ReleaseOperation>;

const Digest &keyOf(const Operation &operation);

/// The attempt holds the key, so its request may be sent.
struct Granted {
    bool operator==(const Granted &) const = default;
};
/// The request was already answered; the answer is replayed.
struct AlreadyAnswered {
    RecordedAnswer answer;

    bool operator==(const AlreadyAnswered &) const = default;
};
/// The request was already answered, and the answer was not kept.
struct AnswerIsNotKept {
    bool operator==(const AnswerIsNotKept &) const = default;
};
/// Another attempt holds the key.
struct HeldByOtherAttempt {
    AttemptId attempt;
    Core::InstanceId instance;

    bool operator==(const HeldByOtherAttempt &) const = default;
};
/// The key was already used for a request with another digest.
struct RequestDigestMismatch {
    bool operator==(const RequestDigestMismatch &) const = default;
};
/// The request of an earlier attempt was sent, and its outcome is unknown.
struct OutcomeIsUnknown {
    bool operator==(const OutcomeIsUnknown &) const = default;
};
/// The attempt already released the key; its late claim is rejected.
struct AttemptAlreadyReleased {
    bool operator==(const AttemptAlreadyReleased &) const = default;
};
/// The key has no claim, and the bucket has no room for a new one.
struct WindowFull {
    std::chrono::milliseconds retryAfter{};

    bool operator==(const WindowFull &) const = default;
};
/// The store did not confirm the claim. Whether other attempts hold or ran the key is unknown.
struct StoreUnavailable {
    std::chrono::milliseconds retryAfter{};
    /// True if a write that contains this claim may have taken effect or may still do so: the attempt must then release the key.
    bool mayBeStored{false};

    StoreUnavailable() = default;
    StoreUnavailable(std::chrono::milliseconds delay, bool isInDoubt)
        : retryAfter(delay)
        , mayBeStored(isInDoubt)
    {
    }

    bool operator==(const StoreUnavailable &) const = default;
};

using ClaimResult = std::variant<Granted,
                                 AlreadyAnswered,
                                 AnswerIsNotKept,
                                 HeldByOtherAttempt,
                                 RequestDigestMismatch,
                                 OutcomeIsUnknown,
                                 AttemptAlreadyReleased,
                                 WindowFull,
                                 StoreUnavailable>;

/// The record or release is stored, by this operation or an earlier one.
struct Stored {
    bool operator==(const Stored &) const = default;
};
/// The bucket holds no claim of the attempt that the operation could change. This must not happen; the daemon logs an error.
struct NotHeld {
    bool operator==(const NotHeld &) const = default;
};

using OutcomeResult = std::variant<Stored, NotHeld>;

using OperationResult = std::variant<ClaimResult, OutcomeResult>;

} // namespace Briarbend::Claims
