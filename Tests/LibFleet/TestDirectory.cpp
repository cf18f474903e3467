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

/// A directory that has known two targets since the given moment.
Directory knownDirectory(Core::TimePoint now)
{
    Directory directory;
    recordStoreAnswer(directory, now);
    applyListing(directory, {record("one"), record("two")}, now);
    return directory;
}

} // namespace

TEST(Directory, aTargetThatIsRemovedWhileTheStoreIsThereIsGoneAtOnce)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordStoreAnswer(directory, now + 500ms);
    applyRemoval(directory, "one", now + 500ms);
    EXPECT_FALSE(directory.entries.contains("one"));
    EXPECT_TRUE(directory.entries.contains("two"));
}

TEST(Directory, aLeaseThatLapsedInAnOutageIsKeptUntilItsTargetHadTimeToComeBack)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    const auto back = now + 5s;
    recordStoreAnswer(directory, back);
    applyRemoval(directory, "one", back);
    applyRemoval(directory, "two", back);
    EXPECT_EQ(directory.entries.size(), 2U);
    applyRecord(directory, record("one"), back + 1500ms);
    EXPECT_FALSE(expireMissing(directory, back + REREGISTRATION_TIME - 1ms));
    EXPECT_TRUE(expireMissing(directory, back + REREGISTRATION_TIME));
    EXPECT_TRUE(directory.entries.contains("one"));
    EXPECT_FALSE(directory.entries.contains("two"));
}

TEST(Directory, anEntryThatAListingLacksAfterAnOutageIsKeptForAsLong)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    const auto back = now + 5s;
    recordStoreAnswer(directory, back);
    applyListing(directory, {record("two")}, back);
    EXPECT_TRUE(directory.entries.contains("one"));
    EXPECT_TRUE(expireMissing(directory, back + REREGISTRATION_TIME));
    EXPECT_FALSE(directory.entries.contains("one"));
}

TEST(Directory, aTargetThatLeftDuringAnOutageIsNotWaitedFor)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    applyRecord(directory, record("one", true), now);
    recordStoreAnswer(directory, now + 5s);
    applyRemoval(directory, "one", now + 5s);
    EXPECT_FALSE(directory.entries.contains("one"));
}

TEST(Directory, aShortPauseBetweenAnswersIsNoOutage)
{
    const Core::TimePoint now{100s};
    auto directory = knownDirectory(now);
    recordStoreAnswer(directory, now + SHORTEST_LEASE - 1ms);
    EXPECT_FALSE(directory.outageEndedAt.has_value());
}

} // namespace Briarbend::Fleet
