#pragma once

#include <LibRollout/Rollout.h>

/// Helpers shared by the traffic share and the status. Not part of the library's interface.
namespace Briarbend::Rollout
{

/// Fraction of the rollout's time that has passed. Negative before its start.
double elapsedFraction(const RolloutState &state, Core::WallTime now);

/// True where the new version has enough successes in the segment.
bool isProven(const RolloutState &state, const TrafficSegment &segment);

} // namespace Briarbend::Rollout
