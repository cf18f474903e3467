#include <LibLimits/DecayingRate.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Limits
{

namespace
{

using Seconds = std::chrono::duration<double>;

} // namespace

void addEvents(DecayingRate &rate, double events, Core::TimePoint now)
{
    rate.weight = recentEvents(rate, now) + events;
    rate.updatedAt = std::max(rate.updatedAt, now);
}

double recentEvents(const DecayingRate &rate, Core::TimePoint now)
{
    const auto age = std::max(0.0, Seconds(now - rate.updatedAt).count());
    return rate.weight * std::exp(-age / Seconds(rate.timeConstant).count());
}

double eventsPerSecond(const DecayingRate &rate, Core::TimePoint now)
{
    return recentEvents(rate, now) / Seconds(rate.timeConstant).count();
}

} // namespace Briarbend::Limits
