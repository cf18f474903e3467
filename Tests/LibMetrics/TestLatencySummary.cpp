#include <LibMetrics/LatencySummary.h>

#include <LibCore/Random.h>

#include <gtest/gtest.h>

namespace Briarbend::Metrics
{

TEST(LatencySummary, estimatesQuantilesOfAnExponentialStreamWithinATenth)
{
    LatencySummary summary;
    Core::Random random(20261204);
    for (int observation = 0; observation < 100'000; ++observation) {
        summary.add(std::chrono::microseconds(static_cast<std::int64_t>(random.exponential(1000))));
    }
    EXPECT_NEAR(static_cast<double>(summary.quantile(0.5).count()), 693, 70);
    EXPECT_NEAR(static_cast<double>(summary.quantile(0.99).count()), 4605, 460);
    EXPECT_EQ(summary.count(), 100'000U);
}

TEST(LatencySummary, isZeroBeforeTheFirstObservation)
{
    const LatencySummary summary;
    EXPECT_EQ(summary.quantile(0.99).count(), 0);
    EXPECT_EQ(summary.maximum().count(), 0);
}

} // namespace Briarbend::Metrics
