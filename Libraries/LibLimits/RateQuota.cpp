#include <LibLimits/RateQuota.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <numeric>

namespace Briarbend::Limits
{

namespace
{

/// One second plus an allowance for sends that reach a target closer together than they left.
constexpr std::chrono::milliseconds SEND_WINDOW{1100};

std::uint64_t weightOfSlot(std::uint32_t slot, const Core::TargetId &target)
{
    return Core::rendezvousWeight(std::to_string(slot), target.value);
}

/// Number of slots that come before the given one for the target.
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
    const bool holdsOneMore = rankOfSlot(*declaration.instanceSlot, slots, target) < remainder;
    return quotient + (holdsOneMore ? 1 : 0);
}

RateQuota startRateQuota(std::uint32_t permits, Core::TimePoint startedAt)
{
    return {.permits = permits, .reserved = 0, .sends = {}, .openFrom = startedAt + SEND_WINDOW};
}

void resizeRateQuota(RateQuota &budget, std::uint32_t permits)
{
    budget.permits = permits;
}

bool hasFreePermit(const RateQuota &budget, Core::TimePoint now)
{
    if (now < budget.openFrom) {
        return false;
    }
    const auto isRecent = [now](Core::TimePoint sentBy) {
        return now - sentBy <= SEND_WINDOW;
    };
    const auto recent = static_cast<std::size_t>(std::ranges::count_if(budget.sends, isRecent));
    return recent + budget.reserved < budget.permits;
}

bool reservePermit(RateQuota &budget, Core::TimePoint now)
{
    std::erase_if(budget.sends, [now](Core::TimePoint sentBy) {
        return now - sentBy > SEND_WINDOW;
    });
    if (!hasFreePermit(budget, now)) {
        return false;
    }
    ++budget.reserved;
    return true;
}

void confirmPermit(RateQuota &budget, Core::TimePoint sentBy)
{
    if (budget.reserved > 0) {
        --budget.reserved;
    }
    budget.sends.push_back(sentBy);
}

void cancelPermit(RateQuota &budget)
{
    if (budget.reserved > 0) {
        --budget.reserved;
    }
}

std::optional<Core::TimePoint> nextFreePermit(const RateQuota &budget)
{
    const auto taken = budget.sends.size() + budget.reserved;
    if (taken < budget.permits) {
        return budget.openFrom;
    }
    const auto mustExpire = taken - budget.permits;
    if (mustExpire >= budget.sends.size()) {
        return std::nullopt;
    }
    return std::max(budget.openFrom, budget.sends[mustExpire] + SEND_WINDOW + Core::Duration{1});
}

} // namespace Briarbend::Limits
