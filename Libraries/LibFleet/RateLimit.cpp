#include <LibFleet/RateLimit.h>

#include <LibLimits/SenderSelection.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Fleet
{

namespace
{

/// Senders beyond one for each request per second. With them all instances together send at most 5 R + 3 requests in 4 s, and the platform
/// allows 6 R + 5: the rest is for views of the members that differ and for sends that arrive closer together than they left.
constexpr double FURTHER_SENDERS = 2;
/// Bounds the window of a rate near zero.
constexpr std::chrono::hours MAXIMUM_WINDOW{1};

Core::TimePoint nextTrialAt(const RateLimit &limit)
{
    return std::max(limit.rate.statedAt, limit.lastTrialAt) + RATE_LIMIT_LIFETIME + RATE_TRIAL_INTERVAL * limit.trialRank;
}

} // namespace

std::size_t senderCount(double requestsPerSecond, std::size_t members)
{
    const auto known = static_cast<double>(std::max<std::size_t>(1, members));
    return static_cast<std::size_t>(std::clamp(std::ceil(requestsPerSecond) + FURTHER_SENDERS, 1.0, known));
}

SenderShare senderShare(double requestsPerSecond, std::size_t members)
{
    const auto perSecond = requestsPerSecond / static_cast<double>(senderCount(requestsPerSecond, members));
    if (perSecond <= 0) {
        return {};
    }
    const auto permits = std::max(1.0, std::floor(perSecond));
    const auto window = std::min<std::chrono::duration<double>>(MAXIMUM_WINDOW, std::chrono::duration<double>(permits / perSecond));
    return {.permits = static_cast<std::uint32_t>(permits), .window = std::chrono::duration_cast<Core::Duration>(window)};
}

bool isOutdated(const RateShare &share, double requestsPerSecond, const RateSharers &sharers)
{
    const bool hasSameSharers = sharers.isComplete && share.sharersFingerprint == sharers.fingerprint;
    return !hasSameSharers || share.sharedRate != requestsPerSecond;
}

void setShare(RateShare &share, const SenderShare &part, Core::TimePoint openFrom, double requestsPerSecond, const RateSharers &sharers)
{
    if (share.quota.permits == 0 && part.permits > 0) {
        share.quota = Limits::startRateQuota(part.permits, openFrom, part.window);
        share.quota.openFrom = openFrom;
    } else {
        Limits::resizeRateQuota(share.quota, part.permits, part.window);
    }
    share.sharersFingerprint = sharers.isComplete ? std::optional(sharers.fingerprint) : std::nullopt;
    share.sharedRate = requestsPerSecond;
}

void updateQuota(RateLimit &limit, const Core::TargetId &target, const RateSharers &sharers, Core::TimePoint now)
{
    const auto rate = limit.rate.requestsPerSecond;
    if (!isOutdated(limit, rate, sharers)) {
        return;
    }
    auto part = senderShare(rate, sharers.members.size());
    const auto senders = senderCount(rate, sharers.members.size());
    const auto rank = Limits::senderRank(sharers.self, sharers.members, target);
    part.permits = sharers.isComplete && rank < senders ? part.permits : 0;
    setShare(limit, part, now + part.window * (rank + 1) / senders, rate, sharers);
    limit.trialRank = Limits::senderRank(sharers.self, sharers.neighbours, target);
}

bool isTrialDue(const RateLimit &limit, Core::TimePoint now)
{
    return now >= nextTrialAt(limit);
}

Core::TimePoint nextSendAt(const RateLimit &limit, Core::TimePoint now)
{
    const auto trialAt = nextTrialAt(limit);
    if (limit.rate.requestsPerSecond <= 0) {
        return trialAt;
    }
    const auto own = limit.quota.permits > 0 ? Limits::nextFreePermit(limit.quota) : std::nullopt;
    return std::min(trialAt, own.value_or(now + limit.quota.window));
}

} // namespace Briarbend::Fleet
