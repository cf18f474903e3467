#pragma once

#include <LibCore/Time.h>

#include <ctime>

namespace Briarbend::Network
{

/// The time of day, in the precision that decisions take it in.
inline Core::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

/// Time since the host started, that in which it was suspended counted, which the steady clock leaves out. Callers' deadlines go on
/// meanwhile.
inline std::chrono::nanoseconds bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Processor time that this process has used.
inline std::chrono::nanoseconds processorNow()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Time of day that goes on with the time since the host started: steps of the host's clock do not show. For courses that several instances
/// follow by the time of day.
class SteadyWallClock
{
public:
    explicit SteadyWallClock(Core::WallTime wall = wallNow(), std::chrono::nanoseconds boot = bootNow())
        : anchor(wall)
        , bootAtAnchor(boot)
    {
    }

    Core::WallTime now(std::chrono::nanoseconds boot = bootNow()) const
    {
        return this->anchor + std::chrono::duration_cast<Core::WallTime::duration>(boot - this->bootAtAnchor);
    }

private:
    Core::WallTime anchor;
    std::chrono::nanoseconds bootAtAnchor;
};

} // namespace Briarbend::Network
