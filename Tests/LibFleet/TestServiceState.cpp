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

TEST(Beliefs, whatIsBelievedOfATargetLastsAsLongAsItsStart)
{
    const Core::TimePoint now{100s};
    ServiceState book;
    updateTargets(book, {record("one"), record("two")}, now, 0);
    ejectTarget(*findTarget(book, "one"), now);
    ejectTarget(*findTarget(book, "two"), now);
    updateTargets(book, {record("one"), record("two", 2)}, now, 0);
    EXPECT_EQ(findTarget(book, "one")->troublesInRow, 1U);
    EXPECT_EQ(findTarget(book, "two")->troublesInRow, 0U);
    EXPECT_EQ(findTarget(book, "three"), nullptr);
}

TEST(Beliefs, aNewEntryOfTheSameStartRenewsHowLongItStaysCold)
{
    const Core::TimePoint now{100s};
    ServiceState book;
    auto cold = record("one");
    cold.coldLeft = 3s;
    updateTargets(book, {cold}, now, 0);
    EXPECT_EQ(findTarget(book, "one")->coldUntil, now + 3s);
    updateTargets(book, {cold}, now + 1s, 0);
    EXPECT_EQ(findTarget(book, "one")->coldUntil, now + 3s) << "the same entry says nothing new";
    updateTargets(book, {record("one")}, now + 1s, 0);
    EXPECT_LE(findTarget(book, "one")->coldUntil, now + 1s);
}

TEST(Beliefs, repeatedTroubleLengthensTheTimeForWhichATargetIsAvoided)
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

TEST(Beliefs, failuresAreForgottenWithTime)
{
    const Core::TimePoint now{100s};
    TargetState target;
    recordOutcome(target, SendOutcome::Failure, now);
    recordOutcome(target, SendOutcome::Lost, now);
    EXPECT_NEAR(failureShare(target, now), 0.51, 0.01);
    EXPECT_LT(failureShare(target, now + 10s), 0.05);
}

TEST(Beliefs, typicalSlownessIsTheTimeThatWorkTakesOnAverage)
{
    ServiceState book;
    TargetState target;
    const Core::TimePoint now{100s};
    // A quarter of the hosts is five times as slow: work goes on at 0.8 of its speed, so that it takes 1.25 times as long.
    for (int statement = 0; statement < 4000; ++statement) {
        recordLoadReport(book, target, {.running = 0, .waiting = 0, .slots = 6, .slowness = statement % 4 == 0 ? 5.0 : 1.0}, now);
    }
    EXPECT_NEAR(typicalSlowness(book), 1.25, 0.05);
}

// A cold target bears its rate times 1.5 and 5 more in any second, whatever number of instances meets it at once.
RC_GTEST_PROP(Beliefs, allInstancesTogetherSendAColdTargetNoMoreThanItBears, (std::uint64_t seed))
{
    constexpr double RATE = 7.8;
    Core::Random random{seed};
    const std::size_t instances = 2 + random.below(120);
    const ServiceConfiguration plan{.healthPath = "/", .connectionsPerTarget = 1, .coldRequestsPerSecond = RATE};
    const Core::TimePoint start{100s};
    std::vector<TargetState> views(instances);
    for (auto &view : views) {
        view.coldTokens = random.unit();
        view.coldTokensAt = start;
    }
    std::vector<Core::TimePoint> sent;
    for (auto now = start; now < start + 3s; now += 5ms) {
        for (auto &view : views) {
            if (takeColdToken(plan, view, instances, now)) {
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
