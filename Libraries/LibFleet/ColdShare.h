#pragma once

#include <LibFleet/RateLimit.h>

/// This instance's part of the few requests that a cold target bears from all instances together. The part is bounded in each second, not
/// on average: a target that is cold again finds no instance with requests saved up.
namespace Briarbend::Fleet
{

/// Number of instances that may send to a cold target with this rate. Each sends once a second at most, so it is also what all of them send
/// in one second, and what each side of a partition sends.
std::size_t coldSenderCount(double requestsPerSecond);

/// Updates the part after a change of the rate or of the members.
void updateColdShare(
    RateShare &share, double requestsPerSecond, const Core::TargetId &target, const RateSharers &sharers, Core::TimePoint now);

} // namespace Briarbend::Fleet
