#pragma once

#include <LibCore/Time.h>

namespace Briarbend::Network
{

/// The time of day, in the precision that decisions take it in.
inline Core::WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace Briarbend::Network
