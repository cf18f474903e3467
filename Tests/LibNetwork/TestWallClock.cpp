#include <LibNetwork/WallClock.h>

#include <gtest/gtest.h>

namespace Briarbend::Network
{

using namespace std::chrono_literals;

TEST(SteadyWallClock, goesOnFromTheTimeOfDayAtItsStartWhateverTheHostsClockDoes)
{
    const auto start = wallNow();
    const SteadyWallClock clock(start, 10s);
    EXPECT_EQ(clock.now(10s), start);
    EXPECT_EQ(clock.now(13'500ms), start + 3500ms);
}

TEST(SteadyWallClock, followsTheHostsClockThatDoesNotStep)
{
    const SteadyWallClock clock;
    EXPECT_LT(std::chrono::abs(clock.now() - wallNow()), 100ms);
}

} // namespace Briarbend::Network
