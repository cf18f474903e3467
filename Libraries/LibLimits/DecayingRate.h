#pragma once

#include <LibCore/Time.h>

namespace Briarbend::Limits
{

/// An exponentially decaying count of events: each event is weighted by e^(-age / timeConstant).
struct DecayingRate {
    std::chrono::milliseconds timeConstant{1000};
    double weight{0};
    Core::TimePoint updatedAt{};
};

/// Adds events that happen now.
void addEvents(DecayingRate &rate, double events, Core::TimePoint now);

/// The decayed number of events.
double recentEvents(const DecayingRate &rate, Core::TimePoint now);

/// Events per second, as the decayed number of events divided by the time constant.
double eventsPerSecond(const DecayingRate &rate, Core::TimePoint now);

} // namespace Briarbend::Limits
