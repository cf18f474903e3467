#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>

namespace Briarbend::Fleet
{

/// Limits retries and hedges of the requests to one service. Each instance uses only a share of its own traffic, so that the sum over all
/// instances stays within the platform's budget, whatever the membership.
struct SendBudgetParameters {
    std::chrono::milliseconds window{10'000};
    /// Extra sends per request within the window.
    double share{0.15};
    /// Extra sends within the window that are allowed without any traffic.
    double allowance{1};
};

struct SendBudget {
    SendBudgetParameters parameters;
    std::deque<Core::TimePoint> requests;
    std::deque<Core::TimePoint> extraSends;
};

/// Counts a request of a caller.
void countRequest(SendBudget &budget, Core::TimePoint now);

/// True if the window has an extra send left.
bool hasExtraSend(SendBudget &budget, Core::TimePoint now);

/// Takes one extra send. Returns false if none is left.
bool takeExtraSend(SendBudget &budget, Core::TimePoint now);

} // namespace Briarbend::Fleet
