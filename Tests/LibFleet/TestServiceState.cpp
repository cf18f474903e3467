#include <LibFleet/ServiceState.h>

#include <LibCore/Random.h>

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

TargetRecord record(std::string name, std::int64_t startedAt = 1)
{
    TargetRecord target;
    target.name = std::move(name);
    target.startedAtMilliseconds = startedAt;
    target.slots = 6;
    return target;
}

} // namespace

TEST(ServiceState, targetStateIsKeptUntilTheTargetRestarts)
{
    const Core::TimePoint now{100s};
    ServiceState service;
    updateTargets(service, {record("one"), record("two")}, now, 0);
    ejectTarget(*findTarget(service, "one"), now);
    ejectTarget(*findTarget(service, "two"), now);
    updateTargets(service, {record("one"), record("two", 2)}, now, 0);
    EXPECT_EQ(findTarget(service, "one")->consecutiveEjections, 1U);
    EXPECT_EQ(findTarget(service, "two")->consecutiveEjections, 0U);
    EXPECT_EQ(findTarget(service, "three"), nullptr);
}

TEST(ServiceState, changedRecordOfTheSameStartUpdatesTheColdTime)
{
    const Core::TimePoint now{100s};
    ServiceState service;
    auto cold = record("one");
    cold.coldLeft = 3s;
    updateTargets(service, {cold}, now, 0);
    EXPECT_EQ(findTarget(service, "one")->coldUntil, now + 3s);
    updateTargets(service, {cold}, now + 1s, 0);
    EXPECT_EQ(findTarget(service, "one")->coldUntil, now + 3s) << "the same entry says nothing new";
    updateTargets(service, {record("one")}, now + 1s, 0);
    EXPECT_LE(findTarget(service, "one")->coldUntil, now + 1s);
}

TEST(ServiceState, consecutiveEjectionsLengthenTheEjectionUpToALimit)
{
    const Core::TimePoint now{100s};
    TargetState target;
    ejectTarget(target, now);
    const auto first = target.ejectedUntil - now;
    ejectTarget(target, now);
    EXPECT_EQ(target.ejectedUntil - now, 2 * first);
    for (int repeat = 0; repeat < 20; ++repeat) {
        ejectTarget(target, now);
    }
    EXPECT_LE(target.ejectedUntil - now, 2s);
    recordHealth(target, true, now);
    EXPECT_LE(target.ejectedUntil, now);
}

TEST(ServiceState, failureShareDecays)
{
    const Core::TimePoint now{100s};
    TargetState target;
    recordOutcome(target, SendOutcome::Failure, now);
    recordOutcome(target, SendOutcome::Lost, now);
    EXPECT_NEAR(failureShare(target, now), 0.51, 0.01);
    EXPECT_LT(failureShare(target, now + 10s), 0.05);
}

TEST(ServiceState, typicalSlownessIsTheInverseOfTheMeanSpeed)
{
    ServiceState service;
    TargetState target;
    const Core::TimePoint now{100s};
    // A quarter of the hosts is five times as slow: the mean speed is 0.8, so that work takes 1.25 times as long.
    for (int statement = 0; statement < 4000; ++statement) {
        recordLoadReport(service, target, {.running = 0, .waiting = 0, .slots = 6, .slowness = statement % 4 == 0 ? 5.0 : 1.0}, now);
    }
    EXPECT_NEAR(typicalSlowness(service), 1.25, 0.05);
}

// A cold target takes 1.5 times its rate plus 5 requests in any second, however many instances send to it.
RC_GTEST_PROP(ServiceState, allInstancesTogetherStayWithinTheRateOfAColdTarget, (std::uint64_t seed))
{
    constexpr double RATE = 7.8;
    Core::Random random{seed};
    const std::size_t instances = 2 + random.below(120);
    const ServiceConfiguration configuration{.healthPath = "/", .connectionsPerTarget = 1, .coldRequestsPerSecond = RATE};
    const Core::TimePoint start{100s};
    std::vector<TargetState> views(instances);
    for (auto &view : views) {
        view.coldTokens = random.unit();
        view.coldTokensAt = start;
    }
    std::vector<Core::TimePoint> sent;
    for (auto now = start; now < start + 3s; now += 5ms) {
        for (auto &view : views) {
            if (takeColdToken(configuration, view, instances, now)) {
                sent.push_back(now);
            }
        }
    }
    for (const auto from : sent) {
        const auto within = std::ranges::count_if(sent, [from](Core::TimePoint time) {
            return time >= from && time < from + 1s;
        });
        RC_ASSERT(static_cast<double>(within) <= RATE * 1.5 + 5);
    }
}

} // namespace Briarbend::Fleet
