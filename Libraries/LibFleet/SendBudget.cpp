#include <LibFleet/SendBudget.h>

namespace Briarbend::Fleet
{

namespace
{

void dropExpired(std::deque<Core::TimePoint> &events, const SendBudgetParameters &parameters, Core::TimePoint now)
{
    while (!events.empty() && now - events.front() >= parameters.window) {
        events.pop_front();
    }
}

} // namespace

void countRequest(SendBudget &budget, Core::TimePoint now)
{
    dropExpired(budget.requests, budget.parameters, now);
    budget.requests.push_back(now);
}

bool hasExtraSend(SendBudget &budget, Core::TimePoint now)
{
    dropExpired(budget.requests, budget.parameters, now);
    dropExpired(budget.extraSends, budget.parameters, now);
    const auto allowed = budget.parameters.allowance + budget.parameters.share * static_cast<double>(budget.requests.size());
    return static_cast<double>(budget.extraSends.size()) + 1 <= allowed;
}

bool takeExtraSend(SendBudget &budget, Core::TimePoint now)
{
    const bool isLeft = hasExtraSend(budget, now);
    if (isLeft) {
        budget.extraSends.push_back(now);
    }
    return isLeft;
}

} // namespace Briarbend::Fleet
