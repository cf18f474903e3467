#include <LibFleet/Directory.h>

#include <gtest/gtest.h>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

TargetRecord record(std::string name, bool isLeaving = false)
{
    TargetRecord target;
    target.name = std::move(name);
    target.isLeaving = isLeaving;
    return target;
}

/// A directory with four targets.
Directory knownDirectory(Core::TimePoint now)
{
    Directory directory;
    recordStoreAnswer(directory, now);
    for (const auto *name : {"one", "two", "three", "four"}) {
        applyRecord(directory, record(name));
    }
    return directory;
}

} // namespace

TEST(Directory, removalWithoutAStoreOutageTakesEffectAtOnce)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordStoreAnswer(directory, now + 500ms);
    applyRemoval(directory, "one", now + 500ms);
    EXPECT_FALSE(directory.entries.contains("one"));
    EXPECT_TRUE(directory.entries.contains("two"));
}

TEST(Directory, entryRemovedAfterAStoreOutageIsKeptForReregistration)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    const auto back = now + 5s;
    recordStoreFailure(directory, now + 1s);
    recordStoreAnswer(directory, back);
    applyRemoval(directory, "one", back);
    applyRemoval(directory, "two", back);
    EXPECT_EQ(directory.entries.size(), 4U);
    applyRecord(directory, record("one"));
    EXPECT_FALSE(expireMissing(directory, back + REREGISTRATION_GRACE_PERIOD - 1ms));
    EXPECT_TRUE(expireMissing(directory, back + REREGISTRATION_GRACE_PERIOD));
    EXPECT_TRUE(directory.entries.contains("one"));
    EXPECT_FALSE(directory.entries.contains("two"));
}

TEST(Directory, leavingTargetIsRemovedAtOnceAfterAStoreOutage)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    applyRecord(directory, record("one", true));
    recordStoreFailure(directory, now + 1s);
    recordStoreAnswer(directory, now + 5s);
    applyRemoval(directory, "one", now + 5s);
    EXPECT_FALSE(directory.entries.contains("one"));
}

TEST(Directory, storeFailureShorterThanALeaseIsNoOutage)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordStoreFailure(directory, now);
    recordStoreFailure(directory, now + 800ms);
    recordStoreAnswer(directory, now + MINIMUM_LEASE_DURATION - 1ms);
    applyRemoval(directory, "one", now + MINIMUM_LEASE_DURATION);
    EXPECT_FALSE(directory.entries.contains("one"));
}

// The store answers a watch only when something changes, so half a minute without an answer is not an outage.
TEST(Directory, unansweredWatchIsNoOutage)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordStoreAnswer(directory, now + 28s);
    applyRemoval(directory, "one", now + 28s);
    EXPECT_FALSE(directory.entries.contains("one"));
}

TEST(Directory, massRemovalIsTreatedAsAnUnseenOutage)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordPendingRemovals(directory, 1, now);
    applyRemoval(directory, "one", now);
    EXPECT_FALSE(directory.entries.contains("one")) << "a quarter of the entries is no outage";
    recordPendingRemovals(directory, 2, now);
    applyRemoval(directory, "three", now);
    applyRemoval(directory, "four", now);
    EXPECT_EQ(directory.entries.size(), 3U);
    EXPECT_TRUE(expireMissing(directory, now + REREGISTRATION_GRACE_PERIOD));
    EXPECT_EQ(directory.entries.size(), 1U);
}

TEST(Directory, selfReportAppliesToOneStartOnly)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    EXPECT_TRUE(recordLeaving(directory, "one", 5, now));
    EXPECT_FALSE(recordLeaving(directory, "one", 5, now)) << "known already";
    auto entry = record("one");
    entry.startedAtMilliseconds = 5;
    ASSERT_NE(findSelfReport(directory, entry), nullptr);
    EXPECT_TRUE(findSelfReport(directory, entry)->isLeaving);
    entry.startedAtMilliseconds = 6;
    EXPECT_EQ(findSelfReport(directory, entry), nullptr);
    recordQuiet(directory, "one", 6, now + 2s, now);
    EXPECT_FALSE(findSelfReport(directory, entry)->isLeaving);
    EXPECT_FALSE(recordLeaving(directory, "one", 5, now)) << "a late word of the earlier start";
    EXPECT_FALSE(findSelfReport(directory, entry)->isLeaving);
    recordQuiet(directory, "one", 6, now + 1s, now);
    EXPECT_EQ(findSelfReport(directory, entry)->quietUntil, now + 2s) << "the longer time counts";
}

// A target whose clock was set back between two starts names a later start with an earlier time. What it said after that start, also that
// it leaves, was taken for late words of an earlier one.
TEST(Directory, selfReportOfAStartAfterTheClockWasSetBackCounts)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordQuiet(directory, "one", 2000, now + 1s, now);
    EXPECT_TRUE(recordLeaving(directory, "one", 1000, now + 2s));
    recordQuiet(directory, "one", 1000, now + 9s, now + 2s);
    auto entry = record("one");
    entry.startedAtMilliseconds = 1000;
    ASSERT_NE(findSelfReport(directory, entry), nullptr);
    EXPECT_TRUE(findSelfReport(directory, entry)->isLeaving);
    EXPECT_EQ(findSelfReport(directory, entry)->quietUntil, now + 9s);
    entry.startedAtMilliseconds = 2000;
    EXPECT_FALSE(findSelfReport(directory, entry)->isLeaving);
}

TEST(Directory, selfReportsAreRetainedAfterTheEntryIsRemoved)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordLeaving(directory, "one", 0, now);
    recordLeaving(directory, "two", 0, now);
    applyRemoval(directory, "one", now);
    expireSelfReports(directory, now + SELF_REPORT_RETENTION - 1s);
    EXPECT_EQ(directory.selfReports.size(), 2U);
    expireSelfReports(directory, now + SELF_REPORT_RETENTION);
    EXPECT_FALSE(directory.selfReports.contains({"one", 0}));
    EXPECT_TRUE(directory.selfReports.contains({"two", 0})) << "still listed";
}

// DRAIN: a store that was restored from an older copy lists a leaving target as ready, which was then used again.
TEST(Directory, startThatLeavesIsNotUsedAgainThoughAnOutdatedEntryIsReady)
{
    Directory directory;
    auto leaving = record("one", true);
    leaving.startedAtMilliseconds = 5;
    applyRecord(directory, leaving);
    auto outdated = leaving;
    outdated.isLeaving = false;
    applyRecord(directory, outdated);
    EXPECT_TRUE(directory.entries.at("one").record.isLeaving);
    outdated.startedAtMilliseconds = 9;
    applyRecord(directory, outdated);
    EXPECT_FALSE(directory.entries.at("one").record.isLeaving) << "another start";
}

TEST(Directory, entriesThatARestoredStoreLacksAreKeptForReregistration)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordStoreRestored(directory, now);
    applyRemoval(directory, "one", now);
    EXPECT_TRUE(directory.entries.contains("one"));
    EXPECT_TRUE(expireMissing(directory, now + REREGISTRATION_GRACE_PERIOD));
    EXPECT_FALSE(directory.entries.contains("one"));
}

} // namespace Briarbend::Fleet
