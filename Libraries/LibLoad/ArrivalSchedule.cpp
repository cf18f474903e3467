#include <LibLoad/ArrivalSchedule.h>

namespace Briarbend::Load
{

Core::TimePoint takeArrival(ArrivalSchedule &schedule, Core::Random &random)
{
    const auto arrival = schedule.next;
    const std::chrono::duration<double> gap(random.exponential(1.0 / schedule.rate));
    schedule.next += std::chrono::duration_cast<Core::Duration>(gap);
    return arrival;
}

} // namespace Briarbend::Load
