#include <LibFleet/Ranking.h>

#include <algorithm>
#include <tuple>

namespace Briarbend::Fleet
{

namespace
{

/// Slots that stay free where a request is past its objective. Under overload each slot then serves a caller in time instead of one that is
/// already late.
constexpr std::uint32_t SLOTS_KEPT_FROM_LATE_REQUESTS = 1;
/// A request is sent while the expected time is below this multiple of the remaining time: the run time of work varies by half.
constexpr int MAXIMUM_EXPECTED_TIME_FACTOR = 2;
/// Largest reserve as a divisor of the slots: slots that are reserved for more than half of the targets' work would stay unused between
/// bursts of urgent requests.
constexpr std::uint32_t MAXIMUM_RESERVE_DIVISOR = 2;
/// Extra time of the slowest requests at a target whose slots are all in use, and at a slow host, as shares of the expected time.
constexpr double LOADED_TAIL_SHARE = 0.5;
constexpr double SLOW_TAIL_SHARE = 0.5;
/// A host is slow from this multiple of the average run time on.
constexpr double SLOW_HOST_FACTOR = 1.5;
/// Part of the objective within which a target answers that is neither full nor slow.
constexpr int FAST_OBJECTIVE_DIVISOR = 2;

bool isLate(const SlotRequest &request)
{
    return request.objectiveLeft.count() <= 0;
}

/// Time by which a request may be later than expected at a loaded or slow target.
std::chrono::microseconds tailMargin(const ServiceState &service, const TargetState &target, std::chrono::microseconds expectedTime)
{
    const auto slots = std::max(1U, slotsOf(target));
    const auto occupancy = 1 - static_cast<double>(freeSlots(target)) / slots;
    const bool isSlow = target.loadReport && target.loadReport->slowness > SLOW_HOST_FACTOR * typicalSlowness(service);
    const auto share = occupancy * LOADED_TAIL_SHARE + (isSlow ? SLOW_TAIL_SHARE : 0);
    return std::chrono::duration_cast<std::chrono::microseconds>(expectedTime * share);
}

auto orderOf(const RankedTarget &ranked)
{
    return std::tie(ranked.isLastResort, ranked.isFull, ranked.takesReservedSlot, ranked.cost);
}

/// The last free slot of a target is reserved for requests that can still be answered within their objective, and further ones for more
/// urgent requests.
bool mayTakeSlot(const RankedTarget &ranked)
{
    return ranked.freeSlots > 0 && !ranked.takesReservedSlot;
}

/// A request joins a target's queue only if it can still be answered within its objective and leaves nothing reserved. Longer queues do not
/// raise the throughput and make every request late; a caller that is refused finds a shorter queue when it retries.
bool servesInTime(const SlotRequest &request, const RankedTarget &ranked)
{
    return !ranked.isFull && !ranked.takesReservedSlot && !request.needsFreeSlot && ranked.expectedTime <= request.objectiveLeft;
}

} // namespace

std::uint32_t reservedSlots(double share, std::uint32_t slots)
{
    if (share <= 0) {
        return 0;
    }
    const auto demanded = static_cast<std::uint32_t>(share * slots);
    return std::min(std::max(1U, demanded), slots / MAXIMUM_RESERVE_DIVISOR);
}

std::optional<RankedTarget> rank(const ServiceState &service,
                                 std::span<const TargetState *const> answered,
                                 const RouteStatistics &route,
                                 const ChoiceInput &input,
                                 const SlotRequest &request,
                                 Core::TimePoint now)
{
    std::optional<RankedTarget> best;
    for (const auto *target : answered) {
        const auto use = usability(*target, input, now);
        if (use != Usability::Usable && use != Usability::LastResort) {
            continue;
        }
        const auto reserved
            = std::max(isLate(request) ? SLOTS_KEPT_FROM_LATE_REQUESTS : 0U, reservedSlots(request.reservedShare, slotsOf(*target)));
        const auto expectedTime = expectedAnswerTime(service, *target, route, input, now);
        const auto margin = request.needsShortTail ? tailMargin(service, *target, expectedTime) : std::chrono::microseconds{0};
        const RankedTarget ranked{.target = target,
                                  .cost = sendCost(service, *target, route, input, now) + margin,
                                  .expectedTime = expectedTime,
                                  .isFull = isFull(*target),
                                  .freeSlots = freeSlots(*target),
                                  .isLastResort = use == Usability::LastResort,
                                  .takesReservedSlot = reserved > 0 && freeSlots(*target) <= reserved};
        best = !best || orderOf(ranked) < orderOf(*best) ? ranked : *best;
    }
    return best;
}

bool meetsObjective(const SlotRequest &request, const RankedTarget &ranked)
{
    if (ranked.isLastResort || ranked.isFull || ranked.takesReservedSlot) {
        return false;
    }
    if (isLate(request)) {
        return true;
    }
    const bool isFast = ranked.freeSlots > 0 && ranked.expectedTime <= request.objectiveLeft / FAST_OBJECTIVE_DIVISOR;
    return request.looksFurther ? isFast : ranked.expectedTime <= request.objectiveLeft;
}

bool isServable(const SlotRequest &request, const RankedTarget &ranked)
{
    return mayTakeSlot(ranked) ? ranked.expectedTime < MAXIMUM_EXPECTED_TIME_FACTOR * request.remaining : servesInTime(request, ranked);
}

} // namespace Briarbend::Fleet
