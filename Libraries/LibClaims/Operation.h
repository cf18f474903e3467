#pragma once

#include <LibClaims/Claim.h>

#include <chrono>
#include <variant>

namespace Briarbend::Claims
{

/// Asks for the key on behalf of one attempt. Idempotent: the same attempt is granted the key again.
struct ClaimOperation {
    Digest key;
    Digest requestDigest;
    AttemptId attempt;
    Core::InstanceId instance;
    /// Wall time at the instance of the attempt.
    Core::WallTime submittedAt;

    bool operator==(const ClaimOperation &) const = default;
};

/// Reports how an attempt that held the claim ended. Retried until it is stored.
struct RecordOperation {
    Digest key;
    AttemptId attempt;
    /// Absent where the outcome is unknown.
    std::optional<RecordedAnswer> answer;

    bool operator==(const RecordOperation &) const = default;
};

/// Gives the key back. Only the attempt itself may do so, and only where it was not run and will not be sent.
struct ReleaseOperation {
    Digest key;
    AttemptId attempt;
    Core::WallTime submittedAt;

    bool operator==(const ReleaseOperation &) const = default;
};

using Operation = std::variant<ClaimOperation, RecordOperation, ReleaseOperation>;

const Digest &keyOf(const Operation &operation);

/// The attempt holds the key: it may be sent.
struct Granted {
    bool operator==(const Granted &) const = default;
};
/// The key was answered before.
struct AlreadyAnswered {
    RecordedAnswer answer;

    bool operator==(const AlreadyAnswered &) const = default;
};
/// The key was answered before, and the answer was not kept.
struct AnswerIsNotKept {
    bool operator==(const AnswerIsNotKept &) const = default;
};
/// Another attempt holds the key.
struct HeldByOtherAttempt {
    AttemptId attempt;
    Core::InstanceId instance;

    bool operator==(const HeldByOtherAttempt &) const = default;
};
/// The key belongs to a request with another digest.
struct RequestDigestMismatch {
    bool operator==(const RequestDigestMismatch &) const = default;
};
/// An earlier attempt was sent, and its outcome is unknown.
struct OutcomeIsUnknown {
    bool operator==(const OutcomeIsUnknown &) const = default;
};
/// The attempt gave the key back before; its late claim is turned away.
struct AttemptAlreadyReleased {
    bool operator==(const AttemptAlreadyReleased &) const = default;
};
/// The key has no claim, and the bucket has no room for one.
struct WindowFull {
    std::chrono::milliseconds retryAfter{};

    bool operator==(const WindowFull &) const = default;
};
/// The store did not confirm the claim. Nothing is known about other attempts of the key.
struct StoreUnavailable {
    std::chrono::milliseconds retryAfter{};
    /// True where a write with this claim may have taken effect, or still may: the attempt must then give the key back.
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

/// A record or a release was stored, or had been before.
struct Stored {
    bool operator==(const Stored &) const = default;
};
/// The bucket holds no claim of the attempt that the operation could change. Must not happen; the daemon logs it as an error.
struct NotHeld {
    bool operator==(const NotHeld &) const = default;
};

using OutcomeResult = std::variant<Stored, NotHeld>;

using OperationResult = std::variant<ClaimResult, OutcomeResult>;

} // namespace Briarbend::Claims
