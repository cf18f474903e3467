#include <LibCallers/BackPressure.h>

#include <array>
#include <gtest/gtest.h>

namespace Briarbend::Callers
{

using namespace std::chrono_literals;

// Connections were closed while requests could still be refused, or refused while reading ahead went on.
TEST(BackPressure, comesInOrder)
{
    auto last = Pressure::None;
    for (std::uint64_t held = 0; held <= 1000; ++held) {
        const auto pressure = pressureOf(held, 1000);
        EXPECT_GE(pressure, last);
        EXPECT_LE(static_cast<int>(pressure) - static_cast<int>(last), 1);
        last = pressure;
    }
    EXPECT_EQ(last, Pressure::RefuseRequests);
}

// Memory was gained from a caller that takes its response, or from a connection that waits for a target.
TEST(BackPressure, closesConnectionWithoutProgressForLongest)
{
    const Core::TimePoint start{100s};
    const std::array connections{
        ConnectionProgress{.heldBytes = 10, .lastProgress = start + 5s, .isWaitingForCaller = true},
        ConnectionProgress{.heldBytes = 10, .lastProgress = start, .isWaitingForCaller = false},
        ConnectionProgress{.heldBytes = 10, .lastProgress = start + 2s, .isWaitingForCaller = true},
        ConnectionProgress{.heldBytes = 0, .lastProgress = start + 1s, .isWaitingForCaller = true},
    };
    EXPECT_EQ(chooseDisconnect(connections, start + 10s, 1s), 2U);
    EXPECT_EQ(chooseDisconnect(connections, start + 10s, 9s), std::nullopt);
    EXPECT_EQ(chooseDisconnect({}, start, 0s), std::nullopt);
}

} // namespace Briarbend::Callers
