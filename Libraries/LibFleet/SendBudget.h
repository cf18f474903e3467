#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <deque>

namespace Briarbend::Fleet
{

/// Bounds the sends beyond the first of each request to one service. Each instance spends only a share of its own traffic, so that the sum
/// over all instances stays within the platform's budget whatever the membership.
struct SendBudgetParameters {
    std::chrono::milliseconds window{10'000};
    /// Extra sends for each request within the window.
    double share{0.15};
    /// Extra sends within the window that need no traffic.
    double allowance{1};
};

struct SendBudget {
    SendBudgetParameters parameters;
    std::deque<Core::TimePoint> requests;
    std::deque<Core::TimePoint> extraSends;
};

/// Counts a request of a caller.
void countRequest(SendBudget &budget, Core::TimePoint now);

/// True where an extra send is left in the window.
bool hasExtraSend(SendBudget &budget, Core::TimePoint now);

/// Takes one extra send. False where none is left.
bool takeExtraSend(SendBudget &budget, Core::TimePoint now);

} // namespace Briarbend::Fleet
