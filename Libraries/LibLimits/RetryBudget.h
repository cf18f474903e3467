#pragma once

#include <LibConfiguration/Model.h>
#include <LibLimits/DecayingRate.h>

namespace Briarbend::Limits
{

struct RetryBudgetParameters {
    /// Retries and hedges together, as a share of the recent requests.
    double share{0.1};
    /// Retries and hedges per second that are allowed without any traffic.
    double minimumPerSecond{1};
};

/// Bounds the extra sends of one instance for one service, so that retries cannot multiply an overload.
struct RetryBudget {
    RetryBudgetParameters parameters;
    DecayingRate requests{.timeConstant = std::chrono::seconds{5}};
    DecayingRate extraSends{.timeConstant = std::chrono::seconds{5}};
};

/// Notes a first send. Retries and hedges are not counted here.
void recordRequest(RetryBudget &budget, Core::TimePoint now);

/// Takes one retry or hedge from the budget. False where it is used up.
bool takeExtraSend(RetryBudget &budget, Core::TimePoint now);

/// What a hedge depends on.
struct HedgeInput {
    Configuration::RouteKind kind{Configuration::RouteKind::Idempotent};
    /// Time since the first send.
    Core::Duration elapsed{0};
    /// Time after which the answer is later than nearly all others.
    Core::Duration hedgeDelay{0};
    /// Time left until the request's deadline.
    Core::Duration remaining{0};
    /// The other target is not overloaded.
    bool hasRoom{false};
};

/// Takes a hedge from the budget: only for safe requests that are late, with time left and room elsewhere.
bool takeHedge(RetryBudget &budget, const HedgeInput &input, Core::TimePoint now);

} // namespace Briarbend::Limits
