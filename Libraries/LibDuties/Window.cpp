#include <LibDuties/Window.h>

namespace Briarbend::Duties
{

namespace
{

using namespace std::chrono_literals;

/// The time between the end of a window and its closing, as a fraction of the window: 2.5 s of 5 s. The last message with the counts of
/// a window is sent up to 1.475 s after its end (a quarter of a window, the spread and a tick), and clocks differ by tens of milliseconds.
constexpr int CLOSING_NUMERATOR = 5;
constexpr int CLOSING_DENOMINATOR = 10;
/// Corrections of the host's clock up to this size are followed at once; they move few requests to another window.
constexpr std::chrono::nanoseconds SMALL_DEVIATION = 50ms;
/// A step that lasts longer is a correction and not a fault.
constexpr std::chrono::nanoseconds LASTING_STEP = 10s;

std::int64_t floorDivide(std::chrono::milliseconds time, std::chrono::milliseconds length)
{
    return time.count() / length.count() - (time.count() % length.count() < 0 ? 1 : 0);
}

} // namespace

WindowIndex windowAt(Core::WallTime time, const WindowParameters &parameters)
{
    return floorDivide(time.time_since_epoch(), parameters.length);
}

Core::WallTime endOf(WindowIndex window, const WindowParameters &parameters)
{
    return Core::WallTime((window + 1) * parameters.length);
}

std::int64_t partAt(Core::WallTime time, const WindowParameters &parameters)
{
    return floorDivide(time.time_since_epoch() * REPORTS_PER_WINDOW, parameters.length);
}

WindowIndex latestClosedWindow(Core::WallTime time, const WindowParameters &parameters)
{
    return windowAt(time - parameters.length * CLOSING_NUMERATOR / CLOSING_DENOMINATOR, parameters) - 1;
}

WindowIndex oldestReportableWindow(Core::WallTime time, const WindowParameters &parameters)
{
    return windowAt(time - parameters.due - parameters.length - 1ms, parameters);
}

void observeClock(WindowClock &clock, Core::WallTime wall, std::chrono::nanoseconds boot)
{
    const auto offset = std::chrono::nanoseconds(wall.time_since_epoch()) - boot;
    const bool isSmall = !clock.offset || std::chrono::abs(offset - *clock.offset) <= SMALL_DEVIATION;
    const bool hasLasted = clock.deviatesSince && boot - *clock.deviatesSince >= LASTING_STEP;
    if (isSmall || hasLasted) {
        clock = {.offset = offset, .deviatesSince = std::nullopt};
    } else if (!clock.deviatesSince) {
        clock.deviatesSince = boot;
    }
}

Core::WallTime timeOf(const WindowClock &clock, std::chrono::nanoseconds boot)
{
    return Core::WallTime(std::chrono::floor<std::chrono::milliseconds>(clock.offset.value_or(0ns) + boot));
}

} // namespace Briarbend::Duties
