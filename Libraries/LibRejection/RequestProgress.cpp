#include <LibRejection/RequestProgress.h>

namespace Briarbend::Rejection
{

bool mayRetry(Configuration::RouteKind kind, RequestProgress progress)
{
    switch (progress) {
    case RequestProgress::NotSent:
    case RequestProgress::RefusedByTargetNotRun:
        return true;
    case RequestProgress::SentOutcomeUnknown:
        return kind != Configuration::RouteKind::Once;
    case RequestProgress::Answered:
        return false;
    }
    return false;
}

bool isCertainlyNotRun(RequestProgress progress)
{
    return progress == RequestProgress::NotSent || progress == RequestProgress::RefusedByTargetNotRun;
}

} // namespace Briarbend::Rejection
