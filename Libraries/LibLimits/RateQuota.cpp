#include <LibLimits/RateQuota.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <numeric>

namespace Briarbend::Limits
{

namespace
{

std::uint64_t weightOfSlot(std::uint32_t slot, const Core::TargetId &target)
{
    return Core::rendezvousWeight(std::to_string(slot), target.value);
}

/// Number of slots that precede the given one in the target's rendezvous order.
std::uint32_t rankOfSlot(std::uint32_t slot, std::uint32_t slots, const Core::TargetId &target)
{
    const auto weight = weightOfSlot(slot, target);
    const auto comesBefore = [&](std::uint32_t other) {
        const auto otherWeight = weightOfSlot(other, target);
        return otherWeight > weight || (otherWeight == weight && other < slot);
    };
    std::vector<std::uint32_t> all(slots);
    std::iota(all.begin(), all.end(), 0U);
    return static_cast<std::uint32_t>(std::ranges::count_if(all, comesBefore));
}

} // namespace

std::uint32_t instanceShare(std::uint32_t budget, const QuotaPartition &declaration, const Core::TargetId &target)
{
    const auto slots = std::max(declaration.maximumInstances, 1U);
    const auto quotient = budget / slots;
    const auto remainder = budget % slots;
    if (!declaration.instanceSlot || *declaration.instanceSlot >= slots || remainder == 0) {
        return quotient;
    }
    const bool hasRemainderPermit = rankOfSlot(*declaration.instanceSlot, slots, target) < remainder;
    return quotient + (hasRemainderPermit ? 1 : 0);
}

RateQuota startRateQuota(std::uint32_t permits, Core::TimePoint startedAt, Core::Duration window)
{
    return {.permits = permits, .window = window, .reserved = 0, .sends = {}, .openFrom = startedAt + window};
}

void resizeRateQuota(RateQuota &quota, std::uint32_t permits, Core::Duration window)
{
    quota.permits = permits;
    quota.window = window;
}

bool hasFreePermit(const RateQuota &quota, Core::TimePoint now)
{
    if (now < quota.openFrom) {
        return false;
    }
    const auto isRecent = [&quota, now](Core::TimePoint sentBy) {
        return now - sentBy <= quota.window;
    };
    const auto recent = static_cast<std::size_t>(std::ranges::count_if(quota.sends, isRecent));
    return recent + quota.reserved < quota.permits;
}

bool reservePermit(RateQuota &quota, Core::TimePoint now)
{
    std::erase_if(quota.sends, [&quota, now](Core::TimePoint sentBy) {
        return now - sentBy > quota.window;
    });
    if (!hasFreePermit(quota, now)) {
        return false;
    }
    ++quota.reserved;
    return true;
}

void confirmPermit(RateQuota &quota, Core::TimePoint sentBy)
{
    if (quota.reserved > 0) {
        --quota.reserved;
    }
    quota.sends.push_back(sentBy);
}

void cancelPermit(RateQuota &quota)
{
    if (quota.reserved > 0) {
        --quota.reserved;
    }
}

std::optional<Core::TimePoint> nextFreePermit(const RateQuota &quota)
{
    const auto taken = quota.sends.size() + quota.reserved;
    if (taken < quota.permits) {
        return quota.openFrom;
    }
    const auto mustExpire = taken - quota.permits;
    if (mustExpire >= quota.sends.size()) {
        return std::nullopt;
    }
    return std::max(quota.openFrom, quota.sends[mustExpire] + quota.window + Core::Duration{1});
}

} // namespace Briarbend::Limits
