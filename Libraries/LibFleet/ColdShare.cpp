#include <LibFleet/ColdShare.h>

#include <LibLimits/SenderSelection.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Fleet
{

namespace
{

/// A cold target bears this multiple of its rate in one second, and a few more.
constexpr double TOLERATED_RATE_FACTOR = 1.5;
constexpr double TOLERATED_REQUESTS = 5;
/// Room for three sides of a partition, of which each divides the rate among its own members, and for views of the members that differ.
constexpr double PARTITION_SIDES = 4;

} // namespace

std::size_t coldSenderCount(double requestsPerSecond)
{
    const auto tolerated = TOLERATED_RATE_FACTOR * requestsPerSecond + TOLERATED_REQUESTS;
    return std::max<std::size_t>(1, static_cast<std::size_t>(tolerated / PARTITION_SIDES));
}

void updateColdShare(
    ColdShare &share, double requestsPerSecond, const Core::TargetId &target, const RateSharers &sharers, Core::TimePoint now)
{
    const bool hasSameSharers = sharers.isComplete && share.sharersFingerprint == sharers.fingerprint;
    if (hasSameSharers && share.sharedRate == requestsPerSecond) {
        return;
    }
    const bool isFirst = !share.sharersFingerprint;
    const auto senders = coldSenderCount(requestsPerSecond);
    const auto known = std::max({std::size_t{1}, sharers.members.size(), sharers.known});
    const auto rank = Limits::senderRank(sharers.self, sharers.members, target);
    const auto permits = sharers.isComplete && rank < senders ? std::max<std::size_t>(1, senders / known) : 0;
    if (share.quota.permits == 0 && permits > 0) {
        // Those that this instance follows may just have sent.
        const auto openFrom = isFirst ? sharers.completeSince : now;
        share.quota.window = Limits::SEND_WINDOW;
        share.quota.openFrom = openFrom == Core::TimePoint{} ? openFrom : openFrom + Limits::SEND_WINDOW;
    }
    Limits::resizeRateQuota(share.quota, static_cast<std::uint32_t>(permits));
    share.sharersFingerprint = sharers.isComplete ? std::optional(sharers.fingerprint) : std::nullopt;
    share.sharedRate = requestsPerSecond;
}

} // namespace Briarbend::Fleet
