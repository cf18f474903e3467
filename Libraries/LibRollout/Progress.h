#pragma once

#include <LibRollout/Rollout.h>

/// Parts of the decisions that the share of traffic and the status have in common. Not part of the library's interface.
namespace Briarbend::Rollout
{

/// Part of the move's time that has passed; below zero before its start.
double elapsedFraction(const RolloutState &state, Core::WallTime now);

/// True where the new version has answered enough requests of the segment.
bool isProven(const RolloutState &state, const TrafficSegment &segment);

} // namespace Briarbend::Rollout
