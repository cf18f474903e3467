#include <LibFleet/ColdShare.h>

#include <LibLimits/SenderSelection.h>

#include <algorithm>

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
    RateShare &share, double requestsPerSecond, const Core::TargetId &target, const RateSharers &sharers, Core::TimePoint now)
{
    if (!isOutdated(share, requestsPerSecond, sharers)) {
        return;
    }
    const auto senders = coldSenderCount(requestsPerSecond);
    const auto known = std::max({std::size_t{1}, sharers.members.size(), sharers.known});
    const auto rank = Limits::senderRank(sharers.self, sharers.members, target);
    const auto permits = sharers.isComplete && rank < senders ? std::max<std::size_t>(1, senders / known) : 0;
    // Those that this instance follows may just have sent.
    const auto followsSince = share.sharersFingerprint ? now : sharers.completeSince;
    setShare(share,
             {.permits = static_cast<std::uint32_t>(permits), .window = Limits::SEND_WINDOW},
             followsSince + Limits::SEND_WINDOW,
             requestsPerSecond,
             sharers);
}

} // namespace Briarbend::Fleet
