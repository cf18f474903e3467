#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <vector>

/// Limits that all instances keep jointly without coordination at run time.
namespace Briarbend::Limits
{

/// How a target's budget is divided among instances, as operators declare it.
struct QuotaPartition {
    /// Largest number of instances that ever run at once, including a replacement that overlaps its predecessor. Positive.
    std::uint32_t maximumInstances{32};
    /// Number in [0, maximumInstances) that no other running instance has. Without it, the instance gets only the quotient of the budget
    /// and `maximumInstances`, rounded down.
    std::optional<std::uint32_t> instanceSlot;
};

/// This instance's share of a target's budget. Every instance gets the quotient, and the slots that come first by rendezvous hash for the
/// target get one more each until the remainder is used up. The sum over all slots is exactly the budget, independent of each instance's
/// view of its peers.
std::uint32_t instanceShare(std::uint32_t budget, const QuotaPartition &declaration, const Core::TargetId &target);

/// One second plus a margin for sends that arrive at a target closer together than they left.
constexpr std::chrono::milliseconds SEND_WINDOW{1100};

/// This instance's quota of a rate limit that counts sends in any window, of one second unless stated otherwise. A permit is in use from
/// before the send until one window after it, so that two sends with the same permit are never within one window, however long the process
/// is stopped in between.
struct RateQuota {
    std::uint32_t permits{0};
    Core::Duration window{SEND_WINDOW};
    /// Permits that are reserved and whose send has not been confirmed.
    std::uint32_t reserved{0};
    /// Confirmed sends that may still be within a window, oldest first; at most `permits` entries.
    std::vector<Core::TimePoint> sends;
    /// No permit is free before this time: the instance that this one replaces may have used the same permits until it ended.
    Core::TimePoint openFrom;
};

/// A quota for an instance that started at the given time.
RateQuota startRateQuota(std::uint32_t permits, Core::TimePoint startedAt, Core::Duration window = SEND_WINDOW);

/// Changes the number of permits and the window. Past sends still count.
void resizeRateQuota(RateQuota &quota, std::uint32_t permits, Core::Duration window = SEND_WINDOW);

/// True if a permit is free.
bool hasFreePermit(const RateQuota &quota, Core::TimePoint now);

/// Reserves a permit for a send that is about to be made. Returns false if none is free.
bool reservePermit(RateQuota &quota, Core::TimePoint now);

/// Marks a reserved permit as sent. `sentBy` must be read after the send has been handed to the operating system.
void confirmPermit(RateQuota &quota, Core::TimePoint sentBy);

/// Releases a reserved permit whose send was certainly not made.
void cancelPermit(RateQuota &quota);

/// The earliest time at which a permit may be free; nothing if every permit awaits its confirmation or there is none.
std::optional<Core::TimePoint> nextFreePermit(const RateQuota &quota);

} // namespace Briarbend::Limits
