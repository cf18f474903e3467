#include <LibAdmission/Demand.h>

#include <algorithm>
#include <numeric>
#include <span>

namespace Briarbend::Admission
{

namespace
{

/// The share of its usual part of the sends below which a priority takes slots before others. It exceeds SEND_FLOOR, since the share falls
/// further until such a slot is found.
constexpr double PROTECTED_SHARE = 0.5;
/// Sends that a priority must lack to count as below its floor: an instance that sees few requests would else often err.
constexpr double MINIMUM_LACKING_SENDS = 0.5;

using Classes = std::span<const PriorityDemand>;

/// Sum of one of the decayed counts over some priorities.
double sum(Classes classes, Limits::DecayingRate PriorityDemand::*count, Core::TimePoint now)
{
    return std::transform_reduce(classes.begin(), classes.end(), 0.0, std::plus{}, [count, now](const PriorityDemand &entry) {
        return Limits::recentEvents(entry.*count, now);
    });
}

bool hasDemand(const PriorityDemand &entry, Core::TimePoint now)
{
    return entry.arrived.weight > 0 && now - entry.arrived.updatedAt < DEMAND_LIFETIME;
}

Classes moreUrgent(const Demand &demand, std::uint32_t priority)
{
    return Classes(demand.byPriority).first(priorityClass(priority));
}

} // namespace

std::size_t priorityClass(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, PRIORITY_CLASSES - 1);
}

void recordArrival(Demand &demand, std::uint32_t priority, double workMilliseconds, Core::TimePoint now)
{
    auto &entry = demand.byPriority.at(priorityClass(priority));
    Limits::addEvents(entry.arrived, 1, now);
    Limits::addEvents(entry.work, workMilliseconds, now);
    Limits::addEvents(entry.usual, 1, now);
}

void recordSent(Demand &demand, std::uint32_t priority, Core::TimePoint now)
{
    Limits::addEvents(demand.byPriority.at(priorityClass(priority)).sent, 1, now);
}

void recordFailedSearch(Demand &demand, std::uint32_t priority, Core::TimePoint now)
{
    Limits::addEvents(demand.byPriority.at(priorityClass(priority)).failedSearches, 1, now);
}

bool hasMoreUrgent(const Demand &demand, std::uint32_t priority, Core::TimePoint now)
{
    return std::ranges::any_of(moreUrgent(demand, priority), [now](const PriorityDemand &entry) {
        return hasDemand(entry, now);
    });
}

double moreUrgentShare(const Demand &demand, std::uint32_t priority, Core::TimePoint now)
{
    const auto all = sum(demand.byPriority, &PriorityDemand::work, now);
    return all > 0 ? sum(moreUrgent(demand, priority), &PriorityDemand::work, now) / all : 0;
}

bool isBelowFloor(const Demand &demand, std::uint32_t priority, Core::TimePoint now)
{
    const auto &entry = demand.byPriority.at(priorityClass(priority));
    const auto usualShare = Limits::recentEvents(entry.usual, now) / std::max(1.0, sum(demand.byPriority, &PriorityDemand::usual, now));
    const auto sent = sum(demand.byPriority, &PriorityDemand::sent, now);
    // A priority that asks for less than its usual part is not owed more than it asks for.
    const auto owed = std::min(usualShare * sent, Limits::recentEvents(entry.arrived, now));
    return Limits::recentEvents(entry.sent, now) + MINIMUM_LACKING_SENDS < PROTECTED_SHARE * owed;
}

double slotsPerSecond(const Demand &demand, std::uint32_t priority, std::chrono::milliseconds searchInterval, Core::TimePoint now)
{
    using Seconds = std::chrono::duration<double>;
    const auto classes = Classes(demand.byPriority).subspan(priorityClass(priority));
    const auto sent = sum(classes, &PriorityDemand::sent, now);
    const auto searches = sent + sum(classes, &PriorityDemand::failedSearches, now);
    // Without recent searches, every other one is expected to succeed.
    const auto successShare = (sent + 1) / (searches + 2);
    return std::max(sent / Seconds(DEMAND_TIME_CONSTANT).count(), successShare / Seconds(searchInterval).count());
}

} // namespace Briarbend::Admission
