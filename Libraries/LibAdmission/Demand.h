#pragma once

#include <LibLimits/DecayingRate.h>

#include <array>

namespace Briarbend::Admission
{

/// Priorities that are told apart. Those above count as the least urgent of them, which bounds the state and the labels of counters.
constexpr std::size_t PRIORITY_CLASSES = 8;
/// Time constant of the demand and of the sends: a few seconds of the traffic of one instance.
constexpr std::chrono::milliseconds DEMAND_TIME_CONSTANT{3000};
/// Time constant of the usual demand: a burst of several seconds changes it little.
constexpr std::chrono::milliseconds USUAL_TIME_CONSTANT{30'000};
/// Time since its last request for which a priority counts as having demand.
constexpr std::chrono::milliseconds DEMAND_LIFETIME{4000};
/// Share of its usual part of the sends that each priority keeps.
constexpr double SEND_FLOOR = 0.25;

/// The requests of one priority to one service, as this instance sees them.
struct PriorityDemand {
    Limits::DecayingRate arrived{.timeConstant = DEMAND_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
    /// Milliseconds of expected work that arrived.
    Limits::DecayingRate work{.timeConstant = DEMAND_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
    Limits::DecayingRate usual{.timeConstant = USUAL_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
    Limits::DecayingRate sent{.timeConstant = DEMAND_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
    /// Searches that found no slot.
    Limits::DecayingRate failedSearches{.timeConstant = DEMAND_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
};

/// The demand on one service by priority. Each instance receives a random sample of the requests.
struct Demand {
    std::array<PriorityDemand, PRIORITY_CLASSES> byPriority;
};

std::size_t priorityClass(std::uint32_t priority);

void recordArrival(Demand &demand, std::uint32_t priority, double workMilliseconds, Core::TimePoint now);
/// Records that a request received a slot.
void recordSent(Demand &demand, std::uint32_t priority, Core::TimePoint now);

void recordFailedSearch(Demand &demand, std::uint32_t priority, Core::TimePoint now);

/// True if requests of a more urgent priority arrived recently.
bool hasMoreUrgent(const Demand &demand, std::uint32_t priority, Core::TimePoint now);

/// Share of the more urgent priorities in the expected work of the recent requests.
double moreUrgentShare(const Demand &demand, std::uint32_t priority, Core::TimePoint now);

/// True if the priority must take slots before others to keep SEND_FLOOR of its usual part of the sends.
bool isBelowFloor(const Demand &demand, std::uint32_t priority, Core::TimePoint now);

/// Slots per second that a queue of requests of this and less urgent priorities can expect: at least as many as they received, and the
/// part of their searches that found one, where the head of the queue searches once every interval.
double slotsPerSecond(const Demand &demand, std::uint32_t priority, std::chrono::milliseconds searchInterval, Core::TimePoint now);

} // namespace Briarbend::Admission
