#pragma once

#include <LibConfiguration/Model.h>

namespace Briarbend::Rejection
{

/// How far a request got towards a target. Progress only ever grows within one attempt.
enum class RequestProgress {
    /// No byte of the request was handed to a target's connection.
    NotSent,
    /// At least one byte was handed to a connection, and no complete answer came back. The target may have run the request,
    /// also where the connection died at once (RFC 9110, section 9.2.2).
    SentOutcomeUnknown,
    /// The target answered that it did not run the request, in the form that Briarbend recognizes as such a refusal.
    RefusedByTargetNotRun,
    /// The target answered.
    Answered,
};

/// True where this instance may send the request to another target without the caller asking again. Budget and deadline are the
/// caller's to check besides. A request that runs at most once is repeated only where its target certainly did not run it.
bool mayRetry(Configuration::RouteKind kind, RequestProgress progress);

/// True where the progress alone proves that no target ran this attempt.
bool isCertainlyNotRun(RequestProgress progress);

} // namespace Briarbend::Rejection
