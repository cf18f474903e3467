#include <LibRejection/Progress.h>

namespace Briarbend::Rejection
{

bool mayRetry(Configuration::RouteKind kind, Progress progress)
{
    switch (progress) {
    case Progress::NotSent:
    case Progress::RefusedByTargetNotRun:
        return true;
    case Progress::SentOutcomeUnknown:
        return kind != Configuration::RouteKind::Once;
    case Progress::Answered:
        return false;
    }
    return false;
}

bool isCertainlyNotRun(Progress progress)
{
    return progress == Progress::NotSent || progress == Progress::RefusedByTargetNotRun;
}

} // namespace Briarbend::Rejection
