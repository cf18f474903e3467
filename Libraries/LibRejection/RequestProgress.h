#pragma once

#include <LibConfiguration/Model.h>

namespace Briarbend::Rejection
{

/// How far a request got towards a target. Within one attempt, progress never goes back.
enum class RequestProgress {
    /// No byte of the request has been passed to a connection to a target.
    NotSent,
    /// At least one byte has been passed to a connection, and no complete answer arrived. The target may have run the request, even if
    /// the connection was lost immediately (RFC 9110, section 9.2.2).
    SentOutcomeUnknown,
    /// The target answered that it did not run the request, in the form that Briarbend recognises as such a refusal.
    RefusedByTargetNotRun,
    /// The target answered.
    Answered,
};

/// True if this instance may send the request to another target without a new request from the caller. The calling code must also check
/// budget and deadline. A request that runs at most once is retried only if its target certainly did not run it.
bool mayRetry(Configuration::RouteKind kind, RequestProgress progress);

/// True if the progress alone proves that no target ran this attempt.
bool isCertainlyNotRun(RequestProgress progress);

} // namespace Briarbend::Rejection
