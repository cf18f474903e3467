#pragma once

#include <chrono>

/// Clock types that every decision takes as arguments, so that tests run in virtual time.
namespace Briarbend::Core
{

/// Monotonic clock of one process. Values from different processes are not comparable.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Wall clock time, used only where operators state a time of day. Never decides uniqueness or order.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// For calculations with fractions.
constexpr double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace Briarbend::Core
