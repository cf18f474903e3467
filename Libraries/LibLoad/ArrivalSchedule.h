#pragma once

#include <LibCore/Random.h>
#include <LibCore/Time.h>

/// The parts of an open-loop load generator that need neither clock nor sockets.
namespace Briarbend::Load
{

/// Poisson arrivals. The schedule never waits for answers: a late answer does not delay the next request, so that a stalled server
/// is seen in the latencies (no coordinated omission).
struct ArrivalSchedule {
    /// Requests a second, above zero.
    double rate{1};
    /// Intended send time of the next request.
    Core::TimePoint next;
};

/// Returns the intended send time of the next request and draws the one after it.
Core::TimePoint takeArrival(ArrivalSchedule &schedule, Core::Random &random);

} // namespace Briarbend::Load
