#include <LibLoad/ArrivalSchedule.h>
#include <LibLoad/LatencyHistogram.h>

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Load
{

RC_GTEST_PROP(LatencyHistogram, everyQuantileOfMergedHistogramsIsWithinTheErrorBound, ())
{
    const auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 1LL << 40U)));
    LatencyHistogram merged;
    LatencyHistogram other;
    for (std::size_t index = 0; index < values.size(); ++index) {
        (index % 2 == 0 ? merged : other).record(std::chrono::nanoseconds(values[index]));
    }
    merged.merge(other);
    auto sorted = values;
    std::ranges::sort(sorted);
    for (const double share : {0.5, 0.9, 0.99, 0.9999}) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
        const auto exact = static_cast<double>(sorted[rank - 1]);
        const auto measured = static_cast<double>(merged.quantile(share) / std::chrono::nanoseconds(1));
        RC_ASSERT(measured >= exact);
        RC_ASSERT(measured <= exact * (1 + 1.0 / 128) + 1);
    }
    RC_ASSERT(merged.maximum() / std::chrono::nanoseconds(1) == sorted.back());
}

TEST(ArrivalSchedule, hasTheRateAndTheSpreadOfAPoissonProcess)
{
    constexpr int ARRIVALS = 100000;
    Core::Random random(7);
    ArrivalSchedule schedule{1000, {}};
    double sum = 0;
    double squares = 0;
    for (int index = 0; index < ARRIVALS; ++index) {
        const auto arrival = takeArrival(schedule, random);
        const double gap = std::chrono::duration<double, std::milli>(schedule.next - arrival).count();
        sum += gap;
        squares += gap * gap;
    }
    const double mean = sum / ARRIVALS;
    EXPECT_NEAR(mean, 1, 0.02);
    EXPECT_NEAR(squares / ARRIVALS - mean * mean, 1, 0.05);
}

} // namespace Briarbend::Load
