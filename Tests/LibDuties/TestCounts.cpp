#include <LibDuties/Counts.h>

#include <gtest/gtest.h>

namespace Briarbend::Duties
{

namespace
{

using namespace std::chrono_literals;

constexpr WindowParameters PARAMETERS{.length = 5s, .due = 10s};

using At = Core::WallTime;

/// Guards against counts that stay too high at the collectors when requests are taken back after they were sent there.
TEST(UsageCounts, CountThatWasTakenBackIsSentAgain)
{
    LocalCounts local;
    addRequest(local, 7, "a");
    EXPECT_EQ(takeUnsent(local, 7, Repetition::None).size(), 1U);
    EXPECT_TRUE(takeUnsent(local, 7, Repetition::None).empty());
    removeRequest(local, 7, "a");
    const std::vector<WindowCounts> expected{{.window = 7, .counts = {{"a", 0}}}};
    EXPECT_EQ(takeUnsent(local, 8, Repetition::None), expected);
}

/// Guards against a window whose last message was lost, and against memory that grows with the windows.
TEST(UsageCounts, LastWindowIsRepeatedAndOldWindowsAreForgotten)
{
    LocalCounts local;
    addRequest(local, 7, "a");
    takeUnsent(local, 7, Repetition::None);
    EXPECT_EQ(takeUnsent(local, 8, Repetition::LastWindow).size(), 1U);
    EXPECT_TRUE(takeUnsent(local, 9, Repetition::LastWindow).empty());
    EXPECT_EQ(takeUnsent(local, 9, Repetition::All).size(), 1U);
    EXPECT_TRUE(takeUnsent(local, 10, Repetition::All).empty());
    EXPECT_TRUE(local.counts.empty());
    EXPECT_TRUE(local.sent.empty());
}

/// Guards against requests that count twice because a message is repeated, and against a late message that takes back newer counts.
TEST(UsageCounts, MergeKeepsLatestCountOfEachInstance)
{
    CountTable table;
    merge(table, {"x"}, 2, {{.window = 7, .counts = {{"a", 5}, {"b", 0}}}});
    merge(table, {"x"}, 2, {{.window = 7, .counts = {{"a", 5}}}});
    merge(table, {"x"}, 1, {{.window = 7, .counts = {{"a", 9}}}});
    merge(table, {"y"}, 1, {{.window = 7, .counts = {{"a", 1}}}});
    EXPECT_EQ(totalOf(table, 7), (Counts{{"a", 6}}));
    forgetBefore(table, 8);
    EXPECT_TRUE(totalOf(table, 7).empty());
}

/// Guards against windows that are reported before all counts have arrived, or sent after they are useless.
TEST(UsageWindows, WindowIsClosedAfterItsLastMessageAndReportableUntilTooLate)
{
    EXPECT_EQ(windowAt(At(14'999ms), PARAMETERS), 2);
    EXPECT_EQ(windowAt(At(15'000ms), PARAMETERS), 3);
    EXPECT_EQ(endOf(2, PARAMETERS), At(15s));
    EXPECT_EQ(partAt(At(16'250ms), PARAMETERS), 13);
    EXPECT_EQ(latestClosedWindow(At(17'499ms), PARAMETERS), 1);
    EXPECT_EQ(latestClosedWindow(At(17'500ms), PARAMETERS), 2);
    EXPECT_EQ(oldestReportableWindow(At(30'000ms), PARAMETERS), 2);
    EXPECT_EQ(oldestReportableWindow(At(30'001ms), PARAMETERS), 3);
}

/// Guards against requests that count in other windows because the host's clock steps for a moment.
TEST(UsageWindows, StepOfClockIsFollowedOnlyWhenItLasts)
{
    WindowClock clock;
    observeClock(clock, At(100s), 50s);
    observeClock(clock, At(101'030ms), 51s);
    EXPECT_EQ(timeOf(clock, 51s), At(101'030ms));
    observeClock(clock, At(105s), 52s);
    EXPECT_EQ(timeOf(clock, 52s), At(102'030ms));
    observeClock(clock, At(103'030ms), 53s);
    for (auto boot = 54s; boot <= 64s; boot += 1s) {
        observeClock(clock, At(boot + 53s), boot);
    }
    EXPECT_EQ(timeOf(clock, 64s), At(117s));
}

} // namespace

} // namespace Briarbend::Duties
