#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Limits that all instances keep together without asking each other.
namespace Briarbend::Limits
{

/// How operators divide a target's budget among instances.
struct QuotaPartition {
    /// Largest number of instances that ever run at once, overlapping replacements included. Positive.
    std::uint32_t maximumInstances{32};
    /// Number in [0, maximumInstances) that no other running instance has. Without it the instance takes only the part of the
    /// budget that divides evenly.
    std::optional<std::uint32_t> instanceSlot;
};

/// The units of a target's budget that this instance holds. Every instance holds the quotient, and the slots that come first by
/// rendezvous hash for the target hold one more until the remainder is used up. The sum over all slots is exactly the budget,
/// whatever any instance believes about its peers.
std::uint32_t instanceShare(std::uint32_t budget, const QuotaPartition &declaration, const Core::TargetId &target);

/// This instance's units of a budget that counts sends in any window of one second. A unit is taken from before the send until one
/// window after it, so that two sends of one unit are never within a window, however long the process was stopped in between.
struct RateQuota {
    std::uint32_t permits{0};
    /// Units reserved whose send has not been confirmed.
    std::uint32_t reserved{0};
    /// Confirmed sends that may still be within a window, oldest first; at most `units` entries.
    std::vector<Core::TimePoint> sends;
    /// Nothing is sent before this time: the predecessor of a replaced instance may have spent the same units up to its end.
    Core::TimePoint openFrom;
};

/// A budget for an instance that started at the given time.
RateQuota startRateQuota(std::uint32_t permits, Core::TimePoint startedAt);

/// Changes the number of units. Sends of the past still count.
void resizeRateQuota(RateQuota &quota, std::uint32_t permits);

/// True where a unit is free.
bool hasFreePermit(const RateQuota &quota, Core::TimePoint now);

/// Takes a unit for a send that is about to be made. False where none is free.
bool reservePermit(RateQuota &quota, Core::TimePoint now);

/// Marks a reserved unit as sent. The time must be read after the send has been handed to the operating system.
void confirmPermit(RateQuota &quota, Core::TimePoint sentBy);

/// Gives back a reserved unit of a send that was certainly not made.
void cancelPermit(RateQuota &quota);

/// The earliest time at which a unit may be free; nothing where every unit waits for its confirmation or there is none.
std::optional<Core::TimePoint> nextFreePermit(const RateQuota &quota);

} // namespace Briarbend::Limits
