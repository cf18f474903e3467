#pragma once

#include <LibConfiguration/Model.h>
#include <LibLimits/DecayingRate.h>

namespace Briarbend::Limits
{

struct RetryBudgetParameters {
    /// Largest number of retries and hedges together, as a share of the recent requests.
    double share{0.1};
    /// Retries and hedges per second that are allowed in addition to the share, even without any traffic.
    double minimumPerSecond{1};
};

/// Limits the extra sends (retries and hedges) of one instance for one service, so that retries cannot amplify an overload.
struct RetryBudget {
    RetryBudgetParameters parameters;
    DecayingRate requests{.timeConstant = std::chrono::seconds{5}};
    DecayingRate extraSends{.timeConstant = std::chrono::seconds{5}};
};

/// Records the first send of a request. Retries and hedges are not recorded here.
void recordRequest(RetryBudget &budget, Core::TimePoint now);

/// Takes one retry or hedge from the budget. Returns false if the budget is used up.
bool takeExtraSend(RetryBudget &budget, Core::TimePoint now);

/// Conditions that decide whether a request is hedged.
struct HedgeInput {
    Configuration::RouteKind kind{Configuration::RouteKind::Idempotent};
    /// Time since the first send.
    Core::Duration elapsed{0};
    /// Time within which nearly all answers arrive.
    Core::Duration hedgeDelay{0};
    /// Time left until the request's deadline.
    Core::Duration remaining{0};
    /// The other target is not overloaded.
    bool hasRoom{false};
};

/// Takes a hedge from the budget. Hedges only safe requests that are late, have time left and have another target that is not overloaded.
bool takeHedge(RetryBudget &budget, const HedgeInput &input, Core::TimePoint now);

} // namespace Briarbend::Limits
