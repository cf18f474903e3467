#include <LibGateway/DeferredChanges.h>
#include <Tests/LibGateway/Revisions.h>

#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::TimePoint NOW{100s};

Content target(std::int64_t startedAt)
{
    Fleet::TargetRecord record;
    record.startedAtMilliseconds = startedAt;
    return record;
}

Content order(std::string version)
{
    return RolloutOrder{.service = {"benches"}, .version = {std::move(version)}, .ramp = 20s, .progress = {}};
}

Change listed(Content content)
{
    return {.object = {.name = "one", .revision = at(4), .content = std::move(content)}, .isRemoved = false, .mayBeOutdated = true};
}

Change removed()
{
    return {.object = {.name = "one", .revision = at(4), .content = Unreadable{}}, .isRemoved = true, .mayBeOutdated = true};
}

} // namespace

// EVAC, EXPOSURE: a data centre that was out, and the order of a rollout, would end with the copy that lacks them.
TEST(DeferredChanges, objectThatTheStoreHasLostTakesBackWhatIsKnown)
{
    const Content known = Core::DataCentreName{"north"};
    EXPECT_TRUE(takesBackKnown(&known, removed()));
    EXPECT_FALSE(takesBackKnown(nullptr, removed()));
}

// DRAIN: a target that had left would be used again with the copy that still lists it.
TEST(DeferredChanges, objectThatWasRemovedTakesBackWhatIsKnown)
{
    EXPECT_TRUE(takesBackKnown(nullptr, listed(target(5))));
    const Content known = target(5);
    EXPECT_FALSE(takesBackKnown(&known, listed(target(5))));
    EXPECT_TRUE(takesBackKnown(&known, listed(target(3)))) << "an earlier start";
}

TEST(DeferredChanges, orderForAnotherVersionTakesBackWhatIsKnown)
{
    const Content known = order("v2");
    EXPECT_FALSE(takesBackKnown(&known, listed(order("v2"))));
    EXPECT_TRUE(takesBackKnown(&known, listed(order("v1"))));
}

TEST(DeferredChanges, changeIsDueAfterItsPeriodUnlessTheObjectIsWrittenAgain)
{
    DeferredChanges deferred;
    deferChange(deferred, ObjectKind::Rollouts, listed(order("v1")), NOW);
    deferChange(deferred, ObjectKind::DataCentresOut, removed(), NOW);
    deferChange(deferred, ObjectKind::Targets, listed(target(5)), NOW);
    EXPECT_TRUE(takeDue(deferred, NOW + TARGET_REWRITE_PERIOD - 1ms).empty());
    EXPECT_EQ(takeDue(deferred, NOW + TARGET_REWRITE_PERIOD).size(), 1U);
    dropDeferred(deferred, ObjectKind::Rollouts, "one");
    EXPECT_FALSE(hasDeferred(deferred, ObjectKind::Rollouts));
    const auto due = takeDue(deferred, NOW + REWRITE_PERIOD);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().first, ObjectKind::DataCentresOut);
    EXPECT_TRUE(deferred.empty());
}

} // namespace Briarbend::Gateway
