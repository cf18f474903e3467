#include <LibFleet/Connectivity.h>

#include <gtest/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::TimePoint NOW{100s};
constexpr std::size_t MANY_TARGETS = 40;

/// Contacts that failed at the given number of targets, 50 ms apart. Returns whether the instance counts as cut off.
bool failAt(Connectivity &connectivity, std::size_t targets, std::size_t knownTargets = MANY_TARGETS)
{
    for (std::size_t index = 0; index < targets; ++index) {
        recordUnreachable(connectivity, "target-" + std::to_string(index), knownTargets, NOW + index * 50ms);
    }
    return isCutOff(connectivity);
}

} // namespace

TEST(Connectivity, instanceThatReachesNoneOfSeveralTargetsIsCutOffSinceTheFirst)
{
    Connectivity connectivity;
    EXPECT_FALSE(failAt(connectivity, 3));
    EXPECT_TRUE(failAt(connectivity, 4));
    EXPECT_EQ(connectivity.cutOffSince, NOW);
}

TEST(Connectivity, responseOfAnyTargetShowsThatTheOthersHaveFailed)
{
    Connectivity connectivity;
    failAt(connectivity, 3);
    EXPECT_EQ(recordHeard(connectivity, NOW), std::nullopt);
    EXPECT_FALSE(failAt(connectivity, 3));
}

TEST(Connectivity, oneTargetThatFailsOftenIsNoCut)
{
    Connectivity connectivity;
    for (int times = 0; times < 20; ++times) {
        recordUnreachable(connectivity, "target", MANY_TARGETS, NOW + times * 100ms);
    }
    EXPECT_FALSE(isCutOff(connectivity));
    EXPECT_FALSE(mayBeCutOff(connectivity));
}

TEST(Connectivity, targetsThatCrashTogetherAreNoCut)
{
    Connectivity connectivity;
    for (std::size_t index = 0; index < MANY_TARGETS; ++index) {
        recordUnreachable(connectivity, "target-" + std::to_string(index), MANY_TARGETS, NOW + std::chrono::milliseconds(index));
    }
    EXPECT_FALSE(isCutOff(connectivity));
}

TEST(Connectivity, instanceThatKnowsFewTargetsIsCutOffOnceItReachesNone)
{
    Connectivity connectivity;
    EXPECT_FALSE(failAt(connectivity, 2, 3));
    EXPECT_TRUE(recordUnreachable(connectivity, "target-2", 3, NOW + 100ms));
}

// EXPOSURE: losses of a cut-off instance would speak against the version that its requests were sent to.
TEST(Connectivity, cutExplainsTheLossOfRequestsThatWereSentBeforeItsEnd)
{
    Connectivity connectivity;
    EXPECT_FALSE(explainsLoss(connectivity, NOW));
    failAt(connectivity, 4);
    EXPECT_TRUE(explainsLoss(connectivity, NOW - 5s));
    EXPECT_EQ(recordHeard(connectivity, NOW + 3s), 3s);
    EXPECT_TRUE(explainsLoss(connectivity, NOW - 5s)) << "its deadline passes after the end";
    EXPECT_FALSE(explainsLoss(connectivity, NOW + 4s));
}

} // namespace Briarbend::Fleet
