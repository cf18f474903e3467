#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

/// A duty that one instance at a time performs for all: reports of usage by tenant and window.
namespace Briarbend::Duties
{

/// Window k begins k lengths after the start of 1970.
using WindowIndex = std::int64_t;

/// Precedes all windows.
constexpr WindowIndex NO_WINDOW = -1;

struct WindowParameters {
    std::chrono::milliseconds length{5000};
    /// Time after the end of a window within which its report is due.
    std::chrono::milliseconds due{10'000};
};

/// Number of messages with counts that an instance sends in each window.
constexpr std::int64_t REPORTS_PER_WINDOW = 4;

WindowIndex windowAt(Core::WallTime time, const WindowParameters &parameters);

Core::WallTime endOf(WindowIndex window, const WindowParameters &parameters);

/// The number of the part of a window, counted from the start of 1970; there are REPORTS_PER_WINDOW parts in each window.
std::int64_t partAt(Core::WallTime time, const WindowParameters &parameters);

/// The latest window whose counts are final: instances have had time to send them, twice.
WindowIndex latestClosedWindow(Core::WallTime time, const WindowParameters &parameters);

/// The oldest window whose report is still sent. Older ones are later than due by more than a window.
WindowIndex oldestReportableWindow(Core::WallTime time, const WindowParameters &parameters);

/// Wall clock time that ignores a step of the host's clock until the step has lasted. Counts and reports use it, so that a clock that
/// is wrong for a moment moves no requests into other windows.
struct WindowClock {
    /// Wall time less the time since the host started; nothing before the first observation.
    std::optional<std::chrono::nanoseconds> offset;
    /// Since when the host's clock has differed from the offset by more than a small deviation.
    std::optional<std::chrono::nanoseconds> deviatesSince;
};

/// Compares the host's clock with the time since the host started, which does not step. Call it several times per second.
void observeClock(WindowClock &clock, Core::WallTime wall, std::chrono::nanoseconds boot);

/// The time of day; the clock must have been observed.
Core::WallTime timeOf(const WindowClock &clock, std::chrono::nanoseconds boot);

} // namespace Briarbend::Duties
