#include <LibAdmission/ServiceAdmission.h>

#include <algorithm>

namespace Briarbend::Admission
{

namespace
{

/// Parts of the targets' limit on health checks that searches may use before they stay with their first batch, and that the heads of queues
/// use at most.
constexpr double SEARCH_PROBE_SHARE = 0.8;
constexpr double QUEUE_PROBE_SHARE = 0.5;
constexpr std::chrono::milliseconds MAXIMUM_SEARCH_INTERVAL{400};
/// The usual run time of short work, after which some slots are free again, and the longest useful delay.
constexpr std::chrono::milliseconds MINIMUM_RETRY_AFTER{100};
constexpr std::chrono::milliseconds MAXIMUM_RETRY_AFTER{1000};
/// Added for each step that the priority is less urgent, as a share of the delay of the most urgent.
constexpr double RETRY_DELAY_PER_PRIORITY = 0.5;
constexpr std::uint32_t MAXIMUM_DELAYED_PRIORITY = 2;
/// Share of the time for which a caller still waits. Callers retry after a third of that time at the latest; jitter adds up to half.
constexpr double LATE_RETRY_SHARE = 0.22;

double probesPerSecond(const ProbeSharers &sharers)
{
    return sharers.checksPerTarget * static_cast<double>(sharers.targets)
        / static_cast<double>(std::max<std::size_t>(1, sharers.instances));
}

} // namespace

SearchPlan planSearch(const ServiceAdmission &service, std::uint32_t priority, Core::TimePoint now)
{
    if (!isContended(service.contention, now)) {
        return {};
    }
    if (!hasMoreUrgent(service.demand, priority, now)) {
        return {.needsFreeSlot = true, .reservedShare = 0, .looksFurther = true};
    }
    // A share of zero means that nothing is reserved, so that rare urgent requests need a positive one.
    constexpr double SMALLEST_SHARE = 0.001;
    const bool ignoresReserve = isBelowFloor(service.demand, priority, now);
    return {.needsFreeSlot = true,
            .reservedShare = ignoresReserve ? 0 : std::max(SMALLEST_SHARE, moreUrgentShare(service.demand, priority, now)),
            .looksFurther = false};
}

bool mayProbeFurther(const ServiceAdmission &service, const ProbeSharers &sharers, Core::TimePoint now)
{
    return Limits::eventsPerSecond(service.probes, now) < SEARCH_PROBE_SHARE * probesPerSecond(sharers);
}

std::chrono::milliseconds searchInterval(const ProbeSharers &sharers, std::size_t probesPerSearch)
{
    const auto perSecond = QUEUE_PROBE_SHARE * probesPerSecond(sharers);
    if (perSecond <= 0) {
        return MAXIMUM_SEARCH_INTERVAL;
    }
    const auto interval = std::chrono::duration<double>(static_cast<double>(probesPerSearch) / perSecond);
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(interval), SEARCH_INTERVAL, MAXIMUM_SEARCH_INTERVAL);
}

std::chrono::milliseconds retryAfter(const RefusedRequest &request, std::optional<Core::Duration> expectedWait)
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const auto delayed = std::min(request.priority, MAXIMUM_DELAYED_PRIORITY);
    const Milliseconds expected = expectedWait.value_or(MINIMUM_RETRY_AFTER);
    const auto room
        = std::clamp<Milliseconds>(expected, MINIMUM_RETRY_AFTER, MAXIMUM_RETRY_AFTER) * (1 + RETRY_DELAY_PER_PRIORITY * delayed);
    const Milliseconds late = request.callerLeft * LATE_RETRY_SHARE;
    const bool isInTime = room + request.expectedWork <= request.objectiveLeft;
    const auto delay = late.count() <= 0 ? room : isInTime ? std::min(room, late) : late;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max<Milliseconds>(delay, MINIMUM_SEARCH_INTERVAL));
}

} // namespace Briarbend::Admission
