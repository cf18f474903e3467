#pragma once

#include <array>
#include <string_view>

/// The table of all final answers that Briarbend generates itself: what each of them means, and what a caller may conclude from it.
namespace Briarbend::Rejection
{

/// Why a request is not answered by a target.
enum class Reason {
    /// No configured route matches the path.
    NoRoute,
    /// The instance has no configuration yet.
    NotConfigured,
    /// No target of the service may receive the request now.
    NoTarget,
    /// The request cannot finish within its deadline at the current load, or the queue is full.
    Overloaded,
    /// The target refused the request without running it, and no other target could take it in time.
    RefusedByTarget,
    /// The deadline passed before the request was sent, or before it could be sent again after a target had refused it.
    DeadlinePassedBeforeSending,
    /// The deadline passed after the request was sent.
    DeadlinePassedAfterSending,
    /// The request recently made targets fail and is refused for a limited time.
    Quarantined,
    /// The store did not confirm the claim that a request which runs at most once needs.
    StoreUnavailableForClaims,
    /// The window of remembered keys is full.
    ClaimWindowFull,
    /// A request on a route that runs requests at most once has no usable Idempotency-Key.
    KeyMissing,
    /// The Idempotency-Key belongs to a request with another method, path or body.
    KeyReused,
    /// An earlier submission of the same key is still running.
    StillRunning,
    /// An earlier submission of the same key was sent, and its answer is not known.
    OutcomeUnknown,
    /// An earlier submission of the same key was answered, and the answer was too large to be stored.
    AnswerNotKept,
    /// The request violates the protocol.
    BadRequest,
    /// The request's head is larger than the configuration allows.
    HeaderTooLarge,
    /// The request's body is larger than the route or the claim allows.
    BodyTooLarge,
    /// No connection to a target could be opened in time.
    TargetConnectFailed,
    /// The connection to the target was lost before a complete answer arrived.
    TargetConnectionLost,
    /// The target's answer violates the protocol.
    BadGatewayAnswer,
    /// The instance is stopping and accepts no new requests.
    Stopping,
    /// An internal error of the instance.
    InternalError,
    /// The configuration has tenants, and the request carries no valid API key of one.
    Unauthenticated,
    /// The service is short of capacity, and the tenant has more requests than its fair share of it.
    TenantOverShare,
};

/// How the Retry-After field is determined.
enum class RetryAfterRule {
    /// No field: repeating the same request cannot succeed, or no delay is known.
    None,
    /// The delay that the refusing component measured or set in `Refusal::retryAfter`, for example the drain time of a queue or the
    /// time until the end of a quarantine.
    FromRefusal,
    /// One second, since another instance can answer.
    Minimum,
};

/// What the reason implies about whether the request ran.
enum class RunRule {
    /// The reason occurs only before anything is sent.
    NeverSent,
    /// The progress of the request decides.
    FromProgress,
    /// This submission or an earlier one may have run.
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
    /// True if a caller can succeed by repeating the unchanged request later. On routes that run requests at most once, the repeated
    /// request must carry the same Idempotency-Key.
    bool isRetryUseful;
    RetryAfterRule retryAfter;
    /// Error type of the Proxy-Status field, RFC 9209 section 2.3.
    std::string_view proxyError;
    /// Title of the problem details, RFC 9457 section 3.1.3. The same for every occurrence.
    std::string_view title;
    /// Value of the WWW-Authenticate field, RFC 9110 section 11.6.1; empty if there is none.
    std::string_view challenge{};
};

inline constexpr std::size_t REASON_COUNT = static_cast<std::size_t>(Reason::TenantOverShare) + 1;

/// The traits of every reason, in the order of the enumeration.
const std::array<ReasonTraits, REASON_COUNT> &allReasons();

const ReasonTraits &reasonTraits(Reason reason);

} // namespace Briarbend::Rejection
