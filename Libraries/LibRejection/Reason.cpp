#include <LibRejection/Reason.h>

namespace Briarbend::Rejection
{

namespace
{

// clang-format off
constexpr std::array<ReasonTraits, REASON_COUNT> REASONS{{
    {Reason::NoRoute, "no-route", 404, RunRule::NeverSent, false, RetryAfterRule::None, "destination_not_found", "No route fits the path"},
    {Reason::NotConfigured, "not-configured", 503, RunRule::NeverSent, true, RetryAfterRule::Minimum, "proxy_configuration_error", "The instance has no configuration yet"},
    {Reason::NoTarget, "no-target", 503, RunRule::FromProgress, true, RetryAfterRule::FromRefusal, "destination_unavailable", "No target may receive the request now"},
    {Reason::Overloaded, "overloaded", 503, RunRule::FromProgress, true, RetryAfterRule::FromRefusal, "connection_limit_reached", "The service is overloaded"},
    {Reason::RefusedByTarget, "refused-by-target", 503, RunRule::FromProgress, true, RetryAfterRule::FromRefusal, "destination_unavailable", "The target refused the request"},
    {Reason::DeadlinePassedBeforeSending, "deadline-passed-before-sending", 503, RunRule::FromProgress, true, RetryAfterRule::FromRefusal, "destination_unavailable", "The deadline passed before the request was sent"},
    {Reason::DeadlinePassedAfterSending, "deadline-passed-after-sending", 504, RunRule::MayHaveRun, true, RetryAfterRule::None, "http_response_timeout", "The target did not answer in time"},
    {Reason::Quarantined, "quarantined", 503, RunRule::FromProgress, true, RetryAfterRule::FromRefusal, "http_request_denied", "The request broke targets lately"},
    {Reason::StoreUnavailableForClaims, "store-unavailable-for-claims", 503, RunRule::NeverSent, true, RetryAfterRule::FromRefusal, "proxy_internal_error", "The claim on the request could not be stored"},
    {Reason::ClaimWindowFull, "claim-window-full", 503, RunRule::NeverSent, true, RetryAfterRule::FromRefusal, "proxy_internal_response", "There is no room for another Idempotency-Key"},
    {Reason::KeyMissing, "key-missing", 400, RunRule::NeverSent, false, RetryAfterRule::None, "http_request_error", "The route needs an Idempotency-Key"},
    {Reason::KeyReused, "key-reused", 422, RunRule::MayHaveRun, false, RetryAfterRule::None, "http_request_error", "The Idempotency-Key belongs to another request"},
    {Reason::StillRunning, "still-running", 409, RunRule::MayHaveRun, true, RetryAfterRule::Minimum, "proxy_internal_response", "A request with the same Idempotency-Key still runs"},
    {Reason::OutcomeUnknown, "outcome-unknown", 409, RunRule::MayHaveRun, false, RetryAfterRule::None, "proxy_internal_response", "The outcome of the request is unknown"},
    {Reason::AnswerNotKept, "answer-not-kept", 409, RunRule::MayHaveRun, false, RetryAfterRule::None, "proxy_internal_response", "The request was answered before and its answer was not kept"},
    {Reason::BadRequest, "bad-request", 400, RunRule::FromProgress, false, RetryAfterRule::None, "http_request_error", "The request breaks the protocol"},
    {Reason::HeaderTooLarge, "header-too-large", 431, RunRule::FromProgress, false, RetryAfterRule::None, "http_request_error", "The request's head is too large"},
    {Reason::BodyTooLarge, "body-too-large", 413, RunRule::FromProgress, false, RetryAfterRule::None, "http_request_error", "The request's body is too large"},
    {Reason::TargetConnectFailed, "target-connect-failed", 503, RunRule::FromProgress, true, RetryAfterRule::FromRefusal, "connection_timeout", "No connection to a target could be opened"},
    {Reason::TargetConnectionLost, "target-connection-lost", 502, RunRule::MayHaveRun, true, RetryAfterRule::None, "connection_terminated", "The connection to the target was lost"},
    {Reason::BadGatewayAnswer, "bad-gateway-answer", 502, RunRule::MayHaveRun, true, RetryAfterRule::None, "http_protocol_error", "The target's answer breaks the protocol"},
    {Reason::Stopping, "stopping", 503, RunRule::FromProgress, true, RetryAfterRule::Minimum, "proxy_internal_response", "The instance is stopping"},
    {Reason::InternalError, "internal-error", 500, RunRule::FromProgress, true, RetryAfterRule::None, "proxy_internal_error", "A fault within the instance"},
    {Reason::Unauthenticated, "unauthenticated", 401, RunRule::NeverSent, false, RetryAfterRule::None, "http_request_denied", "The request carries no valid API key", "Bearer"},
    {Reason::TenantOverShare, "tenant-over-share", 429, RunRule::NeverSent, true, RetryAfterRule::FromRefusal, "http_request_denied", "The tenant has more requests than its share of a service that is short of capacity"},
}};
// clang-format on

} // namespace

const std::array<ReasonTraits, REASON_COUNT> &allReasons()
{
    return REASONS;
}

const ReasonTraits &reasonTraits(Reason reason)
{
    return REASONS.at(static_cast<std::size_t>(reason));
}

} // namespace Briarbend::Rejection
