#pragma once

#include <LibCore/Time.h>

namespace Briarbend::Limits
{

/// A count of events that fades with a time constant: the recent events, weighted by e^(-age / constant).
struct DecayingRate {
    std::chrono::milliseconds timeConstant{1000};
    double weight{0};
    Core::TimePoint updatedAt{};
};

/// Adds events that happened now.
void addEvents(DecayingRate &rate, double events, Core::TimePoint now);

/// The faded number of recent events.
double recentEvents(const DecayingRate &rate, Core::TimePoint now);

/// Events per second.
double eventsPerSecond(const DecayingRate &rate, Core::TimePoint now);

} // namespace Briarbend::Limits
