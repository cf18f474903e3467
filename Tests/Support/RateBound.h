#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <vector>

/// The platform's bound on requests to a target that states a rate.
namespace Briarbend::Tests
{

/// The span over which requests are counted.
constexpr std::chrono::seconds RATE_SPAN{4};

/// Requests that a target with this rate may get within RATE_SPAN.
inline std::size_t allowedWithinSpan(double requestsPerSecond)
{
    return static_cast<std::size_t>(1.5 * requestsPerSecond * RATE_SPAN.count() + 5);
}

/// The most requests within any RATE_SPAN, of times in order.
inline std::size_t mostWithinSpan(const std::vector<Core::TimePoint> &times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::upper_bound(first, times.end(), *first + RATE_SPAN);
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

} // namespace Briarbend::Tests
