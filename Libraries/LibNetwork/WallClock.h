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

} // namespace Briarbend::Network
