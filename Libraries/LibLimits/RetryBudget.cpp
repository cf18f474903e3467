#include <LibLimits/RetryBudget.h>

namespace Briarbend::Limits
{

void recordRequest(RetryBudget &budget, Core::TimePoint now)
{
    addEvents(budget.requests, 1, now);
}

bool takeExtraSend(RetryBudget &budget, Core::TimePoint now)
{
    const auto seconds = std::chrono::duration<double>(budget.extraSends.timeConstant).count();
    const auto allowed = budget.parameters.minimumPerSecond * seconds + budget.parameters.share * recentEvents(budget.requests, now);
    if (recentEvents(budget.extraSends, now) + 1 > allowed) {
        return false;
    }
    addEvents(budget.extraSends, 1, now);
    return true;
}

bool takeHedge(RetryBudget &budget, const HedgeInput &input, Core::TimePoint now)
{
    const bool isLate = input.elapsed >= input.hedgeDelay;
    const bool hasTimeAndRoom = input.remaining > input.hedgeDelay && input.hasRoom;
    return input.kind == Configuration::RouteKind::Safe && isLate && hasTimeAndRoom && takeExtraSend(budget, now);
}

} // namespace Briarbend::Limits
