#include <LibFleet/Choice.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Fleet
{

namespace
{

/// The speed of a target's host changes about every 150 ms, so a reported speed remains valid for half of that on average.
constexpr double SPEED_PERSISTENCE_MS = 75;
/// Share of the slots in use from which targets may slow down, and the extra time as a share of the work.
constexpr double NEARLY_FULL_OCCUPANCY = 0.8;
constexpr double NEARLY_FULL_SLOWDOWN = 0.35;
/// Requests per slot, running and waiting, from which a target may reset further ones. Target queues hold at least two per slot.
constexpr std::uint32_t REQUESTS_PER_FULL_SLOT = 2;
/// Cost of a failure beyond the work: the caller retries at another instance.
constexpr double FAILURE_COST_MS = 600;
/// Time after which nearly all requests counted in a load report have ended, so that the report no longer counts.
constexpr std::chrono::milliseconds LOAD_REPORT_LIFETIME{1000};

/// Occupancy of the own data centre up to which its targets are always probed first: they still work at full speed.
constexpr double LOW_OCCUPANCY = 0.3;
/// Occupancy from which the largest share of targets of other data centres is mixed in: few of the own targets are still below the load at
/// which they slow down.
constexpr double HIGH_OCCUPANCY = 0.65;
/// Largest share of targets of other data centres among the first candidates, so that one of the own is nearly always among them.
constexpr double MAXIMUM_FAR_SHARE = 0.6;
/// Share of the targets without a pooled connection that are not ranked behind those with one, at low and at high occupancy of the data
/// centre. Opening a connection costs the target and the caller time; when slots are scarce, the free ones may be at targets that were not
/// probed recently.
constexpr double EXPLORED_SHARE_WHILE_FREE = 0.015;
constexpr double EXPLORED_SHARE_WHILE_BUSY = 0.1;
/// Time for which a target counts as newly joined.
constexpr std::chrono::seconds JOINING_TIME{6};

std::uint32_t estimatedInFlight(const TargetState &target)
{
    if (!target.loadReport) {
        return target.ownInFlight;
    }
    const auto since = target.ownInFlight > target.ownInFlightAtReport ? target.ownInFlight - target.ownInFlightAtReport : 0;
    return target.loadReport->running + target.loadReport->waiting + since;
}

/// Run time of the work on a host that has one slowness now and the average slowness of hosts later.
double workTime(double work, double slownessNow, double slownessLater)
{
    const auto slowness = std::max(0.1, slownessNow);
    if (work * slowness <= SPEED_PERSISTENCE_MS) {
        return work * slowness;
    }
    return SPEED_PERSISTENCE_MS + (work - SPEED_PERSISTENCE_MS / slowness) * slownessLater;
}

std::chrono::microseconds toMicroseconds(double valueMilliseconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(valueMilliseconds * 1000));
}

/// Interleaves names[farBegin, farEnd) with names[0, farBegin). Each of the first PARALLEL_PROBES places goes to a far target with
/// probability `farShare`, then every other place does.
void interleave(std::vector<std::string> &names, std::size_t farBegin, std::size_t farEnd, double farShare, Core::Random &random)
{
    std::vector<std::string> mixed;
    mixed.reserve(farEnd);
    std::size_t near = 0;
    std::size_t far = farBegin;
    while (near < farBegin || far < farEnd) {
        const bool isFirst = mixed.size() < PARALLEL_PROBES;
        const bool wantsFar = isFirst ? random.unit() < farShare : mixed.size() % 2 == 1;
        const bool takesFar = far < farEnd && (wantsFar || near == farBegin);
        mixed.push_back(std::move(names[takesFar ? far++ : near++]));
    }
    std::ranges::move(mixed, names.begin());
}

bool isAllowed(const TargetState &target, const ChoiceInput &input)
{
    const auto &record = target.record;
    const bool isOfVersion = !input.version || (record.version == *input.version) != input.isVersionExcluded;
    const bool isSampled = input.sampled.empty() || std::ranges::find(input.sampled, record.name) != input.sampled.end();
    return !record.isLeaving && !target.isLeaving && isOfVersion && isSampled && !input.dataCentresOut.contains(record.dataCentre)
        && std::ranges::find(input.excluded, record.name) == input.excluded.end();
}

} // namespace

std::uint32_t slotsOf(const TargetState &target)
{
    const auto reported = target.loadReport ? target.loadReport->slots : 0;
    return std::max(1U, reported > 0 ? reported : target.record.slots);
}

Usability usability(const TargetState &target, const ChoiceInput &input, Core::TimePoint now)
{
    if (!isAllowed(target, input) || target.quietUntil > now || !hasSendPermit(target, now)) {
        return Usability::Unusable;
    }
    if (target.coldUntil > now) {
        return Usability::Cold;
    }
    const bool isTrialDue = input.isTrialAllowed && now >= target.nextTrialAt;
    const bool isUnhealthy = target.failsHealthCheck && target.provenHealthyUntil <= now && !isTrialDue;
    return target.ejectedUntil > now || isUnhealthy ? Usability::LastResort : Usability::Usable;
}

std::optional<Core::Duration> timeUntilFirstAcceptsRequests(const ServiceState &service, const ChoiceInput &input, Core::TimePoint now)
{
    std::optional<Core::TimePoint> first;
    for (const auto &target : service.targets) {
        if (isAllowed(target, input)) {
            const auto permitAt = hasSendPermit(target, now) ? now : nextSendAt(*target.rateLimit, now);
            const auto at = std::max(target.quietUntil, permitAt);
            first = std::min(first.value_or(at), at);
        }
    }
    return first && *first > now ? std::optional(*first - now) : std::nullopt;
}

double occupancy(const ServiceState &service, const Core::DataCentreName &dataCentre, Core::TimePoint now)
{
    double inFlight = 0;
    double slots = 0;
    for (const auto &target : service.targets) {
        const bool isRecent = target.loadReport && now - target.loadReportAt < LOAD_REPORT_LIFETIME;
        if (isRecent && target.record.dataCentre == dataCentre) {
            inFlight += estimatedInFlight(target);
            slots += slotsOf(target);
        }
    }
    return slots > 0 ? inFlight / slots : 0;
}

std::vector<std::string> candidates(const ServiceState &service, const ChoiceInput &input, Core::TimePoint now, Core::Random &random)
{
    struct RankedTarget {
        Usability usability;
        bool isFar;
        double order;
        const std::string *name;
    };
    const auto ownOccupancy = occupancy(service, input.ownDataCentre, now);
    const auto saturation = std::clamp((ownOccupancy - LOW_OCCUPANCY) / (HIGH_OCCUPANCY - LOW_OCCUPANCY), 0.0, 1.0);
    const auto farShare = input.isOwnDataCentreFirst ? 0 : saturation * MAXIMUM_FAR_SHARE;
    const auto exploredShare = std::lerp(EXPLORED_SHARE_WHILE_FREE, EXPLORED_SHARE_WHILE_BUSY, saturation);
    std::vector<RankedTarget> ranked;
    for (const auto &target : service.targets) {
        const auto use = usability(target, input, now);
        if (use == Usability::Unusable || use == Usability::Cold) {
            continue;
        }
        // A random order spreads the choices of the instances; targets known to be loaded or failing come later.
        const auto penalty = static_cast<double>(target.ownInFlight) / slotsOf(target) + failureShare(target, now) * 2;
        // Newly joined targets have no pooled connections yet and should receive their share of requests soon.
        const auto share = now - target.joinedAt < JOINING_TIME ? EXPLORED_SHARE_WHILE_BUSY : exploredShare;
        const bool isConnected = target.idleConnections > 0 && target.connectedUntil > now;
        const bool isDeprioritised = !isConnected && random.unit() >= share;
        ranked.push_back({use,
                          target.record.dataCentre != input.ownDataCentre,
                          random.unit() + penalty + (isDeprioritised ? 1 : 0),
                          &target.record.name});
    }
    std::ranges::sort(ranked, [](const RankedTarget &one, const RankedTarget &other) {
        return std::tie(one.usability, one.isFar, one.order) < std::tie(other.usability, other.isFar, other.order);
    });
    std::vector<std::string> names;
    names.reserve(ranked.size());
    std::ranges::transform(ranked, std::back_inserter(names), [](const RankedTarget &entry) {
        return *entry.name;
    });
    // Usable targets of other data centres follow the first targets of the own one, or are interleaved with them while it is busy.
    const auto usableEnd = std::ranges::find_if(ranked, [](const RankedTarget &entry) {
        return entry.usability != Usability::Usable;
    });
    const auto farBegin = std::find_if(ranked.begin(), usableEnd, [](const RankedTarget &entry) {
        return entry.isFar;
    });
    interleave(
        names, static_cast<std::size_t>(farBegin - ranked.begin()), static_cast<std::size_t>(usableEnd - ranked.begin()), farShare, random);
    return names;
}

std::chrono::microseconds expectedAnswerTime(
    const ServiceState &service, const TargetState &target, const RouteStatistics &route, const ChoiceInput &input, Core::TimePoint now)
{
    const auto slots = static_cast<double>(slotsOf(target));
    const bool isRecent = target.loadReport && now - target.loadReportAt < LOAD_REPORT_LIFETIME;
    const auto inFlight = static_cast<double>(isRecent ? estimatedInFlight(target) : target.ownInFlight);
    const bool isSpeedKnown = target.loadReport && Core::milliseconds(now - target.loadReportAt) < SPEED_PERSISTENCE_MS;
    const auto slowness = isSpeedKnown ? target.loadReport->slowness : typicalSlowness(service);
    auto time = workTime(route.workMilliseconds, slowness, typicalSlowness(service));
    if (inFlight >= slots) {
        time += (inFlight - slots + 1) / slots * route.workMilliseconds * typicalSlowness(service);
    }
    if (inFlight + 1 > NEARLY_FULL_OCCUPANCY * slots) {
        time += NEARLY_FULL_SLOWDOWN * route.workMilliseconds;
    }
    const bool isFar = target.record.dataCentre != input.ownDataCentre;
    return toMicroseconds(time) + (isFar ? input.distance : std::chrono::microseconds{0});
}

std::chrono::microseconds sendCost(
    const ServiceState &service, const TargetState &target, const RouteStatistics &route, const ChoiceInput &input, Core::TimePoint now)
{
    auto cost = expectedAnswerTime(service, target, route, input, now);
    cost += toMicroseconds(failureShare(target, now) * (FAILURE_COST_MS + route.workMilliseconds));
    if (target.record.dataCentre != input.ownDataCentre) {
        cost += toMicroseconds(Core::milliseconds(input.transferCostPerKibibyte) * route.answerBytes / 1024);
    }
    return cost;
}

std::uint32_t freeSlots(const TargetState &target)
{
    return slotsOf(target) - std::min(slotsOf(target), estimatedInFlight(target));
}

bool isBusy(const TargetState &target)
{
    constexpr std::uint32_t BUSY_PARTS = 3;
    return BUSY_PARTS * freeSlots(target) < slotsOf(target);
}

bool isFull(const TargetState &target)
{
    return estimatedInFlight(target) >= REQUESTS_PER_FULL_SLOT * slotsOf(target);
}

} // namespace Briarbend::Fleet
