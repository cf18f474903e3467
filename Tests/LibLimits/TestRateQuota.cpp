#include <LibLimits/RateQuota.h>

#include <LibCore/Random.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck/gtest.h>

namespace Briarbend::Limits
{

namespace
{

using namespace std::chrono_literals;

constexpr auto WINDOW = 1s;

/// Send times of processes that are stopped at random moments, including between the reservation and the send.
std::vector<Core::TimePoint> sendsOfSlot(std::uint32_t permits, Core::Random &random)
{
    std::vector<Core::TimePoint> sends;
    Core::TimePoint now{100s};
    const auto pass = [&] {
        const auto stopped = random.below(20) == 0 ? 3000 : 15;
        now += std::chrono::milliseconds{random.below(static_cast<std::size_t>(stopped))};
    };
    auto quota = startRateQuota(permits, now);
    std::uint32_t reserved = 0;
    for (int step = 0; step < 1000; ++step) {
        pass();
        if (random.below(100) == 0) {
            quota = startRateQuota(permits, now);
            reserved = 0;
        }
        reserved += reservePermit(quota, now) ? 1 : 0;
        if (reserved > 0 && random.below(3) == 0) {
            pass();
            sends.push_back(now);
            pass();
            confirmPermit(quota, now);
            --reserved;
        }
    }
    return sends;
}

std::size_t mostWithinWindow(std::vector<Core::TimePoint> sends)
{
    std::ranges::sort(sends);
    std::size_t most = 0;
    for (auto first = sends.begin(); first != sends.end(); ++first) {
        const auto end = std::upper_bound(first, sends.end(), *first + WINDOW);
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

} // namespace

RC_GTEST_PROP(RateQuota, sharesOfAllSlotsSumToBudget, (const std::string &target))
{
    const auto budget = *rc::gen::inRange(0U, 300U);
    const auto instances = *rc::gen::inRange(1U, 64U);
    std::uint32_t sum = 0;
    for (std::uint32_t slot = 0; slot < instances; ++slot) {
        sum += instanceShare(budget, {.maximumInstances = instances, .instanceSlot = slot}, {target});
    }
    RC_ASSERT(sum == budget);
    RC_ASSERT(instanceShare(budget, {.maximumInstances = instances, .instanceSlot = std::nullopt}, {target}) * instances <= budget);
}

RC_GTEST_PROP(RateQuota, noWindowExceedsBudgetThroughFreezesAndRestarts, (std::uint64_t seed))
{
    Core::Random random{seed};
    const auto budget = *rc::gen::inRange(1U, 30U);
    const auto instances = *rc::gen::inRange(1U, 20U);
    std::vector<Core::TimePoint> all;
    for (std::uint32_t slot = 0; slot < instances; ++slot) {
        const auto permits = instanceShare(budget, {.maximumInstances = instances, .instanceSlot = slot}, {"10.0.0.1:80"});
        const auto sends = sendsOfSlot(permits, random);
        all.insert(all.end(), sends.begin(), sends.end());
    }
    RC_ASSERT(mostWithinWindow(all) <= budget);
}

TEST(RateQuota, steadyDemandUsesWholeQuota)
{
    auto quota = startRateQuota(3, Core::TimePoint{0s});
    int sent = 0;
    for (Core::TimePoint now{0s}; now < Core::TimePoint{12s}; now += 1ms) {
        if (reservePermit(quota, now)) {
            confirmPermit(quota, now);
            ++sent;
        }
    }
    // 3 permits, each usable once every 1.1 seconds, and none in the first 1.1 seconds.
    EXPECT_GE(sent, 27);
    EXPECT_LE(sent, 30);
}

TEST(RateQuota, nextFreePermitIsEarliestReservableTime)
{
    auto quota = startRateQuota(1, Core::TimePoint{0s});
    const Core::TimePoint now{2s};
    ASSERT_TRUE(reservePermit(quota, now));
    EXPECT_FALSE(nextFreePermit(quota));
    confirmPermit(quota, now + 5ms);
    ASSERT_TRUE(nextFreePermit(quota));
    EXPECT_FALSE(reservePermit(quota, *nextFreePermit(quota) - 1ns));
    EXPECT_TRUE(reservePermit(quota, *nextFreePermit(quota)));
}

} // namespace Briarbend::Limits
