#pragma once

#include <LibLimits/DecayingRate.h>

/// Decides which requests get the slots of a service while there are too few of them, from their priority, deadline and expected work.
namespace Briarbend::Admission
{

/// Time constant of the averaged occupancy: long enough for some ten probed targets at one instance, short enough to follow a burst.
constexpr std::chrono::milliseconds OCCUPANCY_TIME_CONSTANT{500};
/// Load reports older than this say nothing about a service: the work that they counted has ended.
constexpr std::chrono::milliseconds OCCUPANCY_LIFETIME{1500};
/// Occupancies at which the contended state is entered and left. Targets slow down from 0.8 on. The occupancy at which it is left lies
/// below two thirds, which targets with three slots keep while one of them is reserved.
constexpr double CONTENDED_FROM_OCCUPANCY = 0.75;
constexpr double CONTENDED_DOWN_TO_OCCUPANCY = 0.55;

/// Whether the slots of one service are contended, from the load reports of the targets that were probed.
struct Contention {
    Limits::DecayingRate used{.timeConstant = OCCUPANCY_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
    Limits::DecayingRate slots{.timeConstant = OCCUPANCY_TIME_CONSTANT, .weight = 0, .updatedAt = {}};
    bool isContended{false};
};

/// Records the load of targets that were probed just now.
void recordLoad(Contention &contention, std::uint32_t usedSlots, std::uint32_t slots, Core::TimePoint now);

/// Averaged share of the slots in use; zero without a load report.
double occupancy(const Contention &contention);

/// Time since the last load report.
Core::Duration age(const Contention &contention, Core::TimePoint now);

/// False also where there is no recent load report.
bool isContended(const Contention &contention, Core::TimePoint now);

} // namespace Briarbend::Admission
