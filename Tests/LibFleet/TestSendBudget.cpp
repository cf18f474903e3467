#include <LibFleet/SendBudget.h>

#include <LibCore/Random.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

std::size_t countWithin(const std::vector<Core::TimePoint> &events, Core::TimePoint from, Core::TimePoint to)
{
    return static_cast<std::size_t>(std::ranges::count_if(events, [&](Core::TimePoint event) {
        return event >= from && event < to;
    }));
}

} // namespace

// The platform checks every window. Extra sends are allowed by the requests of the same window or of the one before it.
RC_GTEST_PROP(SendBudget, extraSendsOfAllInstancesStayWithinEveryWindow, (std::uint64_t seed))
{
    constexpr std::size_t INSTANCES = 19;
    Core::Random random{seed};
    const SendBudgetParameters parameters{.window = 10s, .share = 0.17, .allowance = 0.84};
    std::vector<SendBudget> budgets(INSTANCES, SendBudget{parameters, {}, {}});
    std::vector<Core::TimePoint> requests;
    std::vector<Core::TimePoint> extra;
    Core::TimePoint now{100s};
    for (int step = 0; step < 4000; ++step) {
        now += std::chrono::milliseconds{random.below(20)};
        auto &budget = budgets[random.below(INSTANCES)];
        if (random.below(400) == 0) {
            budget = SendBudget{parameters, {}, {}};
        }
        countRequest(budget, now);
        requests.push_back(now);
        if (random.below(2) == 0 && takeExtraSend(budget, now)) {
            extra.push_back(now);
        }
    }
    for (const auto start : extra) {
        const auto end = start + parameters.window;
        const auto sent = countWithin(extra, start, end);
        const auto own = std::max(countWithin(requests, start, end), countWithin(requests, start - parameters.window, start));
        RC_ASSERT(static_cast<double>(sent) <= 0.2 * static_cast<double>(own) + 64);
    }
}

TEST(SendBudget, instanceWithoutTrafficSpendsOnlyItsAllowance)
{
    SendBudget budget{.parameters = {.window = 10s, .share = 0.2, .allowance = 1}, .requests = {}, .extraSends = {}};
    const Core::TimePoint now{100s};
    EXPECT_TRUE(takeExtraSend(budget, now));
    EXPECT_FALSE(takeExtraSend(budget, now));
    EXPECT_FALSE(takeExtraSend(budget, now + 9s));
    EXPECT_TRUE(takeExtraSend(budget, now + 10s));
}

} // namespace Briarbend::Fleet
