#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace Briarbend::Fleet
{

/// Different targets that have to be unreachable, with none heard meanwhile, before an instance takes itself and not them to be the cause.
constexpr std::size_t UNREACHABLE_TARGETS_WHEN_CUT_OFF = 4;
/// Time for which no target has been heard by then. Targets that crash together refuse within milliseconds.
constexpr std::chrono::milliseconds SILENCE_WHEN_CUT_OFF{100};

/// Whether this instance reaches targets at all. An instance that is partitioned from them must not conclude that they have failed.
struct Connectivity {
    /// Targets that could not be reached since the last response of any target.
    std::set<std::string> unreachable;
    /// When the first of them could not be reached.
    Core::TimePoint unreachableSince;
    /// Since when the instance counts as cut off from all targets.
    std::optional<Core::TimePoint> cutOffSince;
    /// When the instance last heard a target again after it was cut off.
    std::optional<Core::TimePoint> regainedAt;
};

/// Records that a target responded, whatever the response was. Returns the time for which the instance was cut off, if it was.
std::optional<Core::Duration> recordHeard(Connectivity &connectivity, Core::TimePoint now);

/// Records that a target could not be reached, did not respond in time or ended the connection without a response. `knownTargets` is the
/// number of targets in use: an instance that knows few is cut off once it reaches none of them. Returns true if the instance counts as cut
/// off from now on.
bool recordUnreachable(Connectivity &connectivity, const std::string &target, std::size_t knownTargets, Core::TimePoint now);

bool isCutOff(const Connectivity &connectivity);

/// Whether a request that was sent at the given time and lost says nothing of its target, since this instance was cut off meanwhile.
bool explainsLoss(const Connectivity &connectivity, Core::TimePoint sentAt);

/// Whether the instance is cut off, or its last contacts failed at more than one target, so that the cause may be this instance.
bool mayBeCutOff(const Connectivity &connectivity);

} // namespace Briarbend::Fleet
