#pragma once

#include <array>
#include <string_view>

/// The one table of final answers that this system gives in its own name: what each means, and what a caller may conclude from it.
namespace Briarbend::Rejection
{

/// Why a request gets no answer from a target.
enum class Reason {
    /// No route of the configuration fits the path.
    NoRoute,
    /// The instance has no configuration yet.
    NotConfigured,
    /// No target of the service may receive the request now.
    NoTarget,
    /// The request could not be finished within its deadline at the present load, or the queue is full.
    Overloaded,
    /// The target refused the request without running it, and no other target could take it in time.
    RefusedByTarget,
    /// The deadline passed before the request was sent, or before it could be sent again after a target had refused it.
    DeadlinePassedBeforeSending,
    /// The deadline passed after the request was sent.
    DeadlinePassedAfterSending,
    /// The request broke targets lately and is refused for a time.
    Quarantined,
    /// The store did not confirm the claim that a request which runs at most once needs.
    StoreUnavailableForClaims,
    /// The window of remembered keys has no room for another.
    ClaimWindowFull,
    /// A route that runs requests at most once got no usable Idempotency-Key.
    KeyMissing,
    /// The Idempotency-Key belongs to a request with another method, path or body.
    KeyReused,
    /// An earlier submission of the same key still runs.
    StillRunning,
    /// An earlier submission of the same key was sent, and its answer is not known.
    OutcomeUnknown,
    /// The same key was answered before, and its answer was too large to be kept.
    AnswerNotKept,
    /// The request breaks the protocol.
    BadRequest,
    /// The request's head is larger than the configuration allows.
    HeaderTooLarge,
    /// The request's body is larger than the route or the claim allows.
    BodyTooLarge,
    /// No connection to a target could be opened in time.
    TargetConnectFailed,
    /// The connection to the target ended before a complete answer.
    TargetConnectionLost,
    /// The target's answer breaks the protocol.
    BadGatewayAnswer,
    /// The instance stops and takes no new work.
    Stopping,
    /// A fault within the instance.
    InternalError,
};

/// When a caller should come back.
enum class RetryAfterRule {
    /// No field: repeating the same request cannot help, or needs no delay that this system knows.
    None,
    /// The time that the refusing part measured or set, for example the drain time of a queue or the end of a quarantine.
    FromRefusal,
    /// One second: another instance can answer.
    Minimum,
};

/// What the reason itself says about whether the request ran.
enum class RunRule {
    /// The reason only arises before anything is sent.
    NeverSent,
    /// The progress of the request decides.
    FromProgress,
    /// An earlier or the present submission may have run.
    MayHaveRun,
};

/// The fixed properties of a reason.
struct ReasonTraits {
    Reason reason;
    /// Stable name, used in the problem type, logs and metrics.
    std::string_view name;
    /// RFC 9110 status code.
    unsigned status;
    RunRule run;
    /// True where the caller's repeat of the unchanged request can succeed later. On routes that run requests at most once the
    /// repeat must carry the same Idempotency-Key.
    bool isRetryUseful;
    RetryAfterRule retryAfter;
    /// Error type of the Proxy-Status field, RFC 9209 section 2.3.
    std::string_view proxyError;
    /// Title of the problem details, RFC 9457 section 3.1.3. The same for every occurrence.
    std::string_view title;
};

inline constexpr std::size_t REASON_COUNT = static_cast<std::size_t>(Reason::InternalError) + 1;

/// Every reason once, in the order of the enumeration.
const std::array<ReasonTraits, REASON_COUNT> &allReasons();

const ReasonTraits &reasonTraits(Reason reason);

} // namespace Briarbend::Rejection
