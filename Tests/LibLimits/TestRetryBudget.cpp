#include <LibLimits/RetryBudget.h>

#include <LibCore/Random.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Limits
{

namespace
{

using namespace std::chrono_literals;

} // namespace

RC_GTEST_PROP(RetryBudget, extraSendsStayWithinShareUnderConstantDemand, (std::uint64_t seed))
{
    Core::Random random{seed};
    RetryBudget budget;
    Core::TimePoint now{100s};
    const auto start = now;
    double requests = 0;
    double extra = 0;
    for (int step = 0; step < 3000; ++step) {
        now += std::chrono::microseconds{random.below(2000)};
        if (random.below(3) > 0) {
            recordRequest(budget, now);
            ++requests;
        }
        extra += takeExtraSend(budget, now) ? 1 : 0;
    }
    const auto seconds = std::chrono::duration<double>(now - start).count();
    const auto &parameters = budget.parameters;
    const auto floor = parameters.minimumPerSecond * (seconds + 5);
    RC_ASSERT(extra <= parameters.share * requests + floor + 1);
    RC_ASSERT(extra >= 0.5 * parameters.share * requests);
}

TEST(RetryBudget, hedgesOnlyLateSafeRequestsWithTimeAndRoom)
{
    RetryBudget budget;
    const Core::TimePoint now{100s};
    const HedgeInput good{.kind = Configuration::RouteKind::Safe, .elapsed = 20ms, .hedgeDelay = 15ms, .remaining = 1s, .hasRoom = true};
    const auto takes = [&](auto change) {
        auto input = good;
        change(input);
        return takeHedge(budget, input, now);
    };
    EXPECT_TRUE(takes([](HedgeInput &) {}));
    EXPECT_FALSE(takes([](HedgeInput &input) {
        input.kind = Configuration::RouteKind::Idempotent;
    }));
    EXPECT_FALSE(takes([](HedgeInput &input) {
        input.kind = Configuration::RouteKind::Once;
    }));
    EXPECT_FALSE(takes([](HedgeInput &input) {
        input.elapsed = 10ms;
    }));
    EXPECT_FALSE(takes([](HedgeInput &input) {
        input.remaining = 10ms;
    }));
    EXPECT_FALSE(takes([](HedgeInput &input) {
        input.hasRoom = false;
    }));
}

} // namespace Briarbend::Limits
