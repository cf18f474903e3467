#include "RolloutWorld.h"

#include <array>
#include <cstdio>
#include <gtest/gtest.h>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds FINISH_BY{20'000};
constexpr std::uint64_t GOOD_RUNS = 100;
constexpr std::uint64_t BAD_RUNS = 20;
constexpr double LARGEST_PART_BEFORE_FAULT = 0.02;

struct BadnessName {
    Badness badness;
    const char *name;
};

constexpr std::array BADNESS_NAMES{BadnessName{Badness::FailsAlways, "FailsAlways"},
                                   BadnessName{Badness::FailsSometimes, "FailsSometimes"},
                                   BadnessName{Badness::Slow, "Slow"},
                                   BadnessName{Badness::FailsUnderLoad, "FailsUnderLoad"},
                                   BadnessName{Badness::SlowUnderLoad, "SlowUnderLoad"},
                                   BadnessName{Badness::FailsLater, "FailsLater"},
                                   BadnessName{Badness::SlowLater, "SlowLater"},
                                   BadnessName{Badness::FailsOnOneRoute, "FailsOnOneRoute"},
                                   BadnessName{Badness::SlowOnOneRoute, "SlowOnOneRoute"}};

} // namespace

class GoodVersion : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(GoodVersion, finishesInTime)
{
    constexpr std::uint64_t GROUPS = 10;
    for (auto seed = GetParam(); seed < GOOD_RUNS; seed += GROUPS) {
        const auto outcome = RolloutWorld{seed, Badness::None}.run();
        EXPECT_EQ(outcome.phase, Phase::Done) << "seed " << seed << ", " << nameOf(outcome.fault);
        EXPECT_LE(outcome.endedAfter, FINISH_BY) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Rollout, GoodVersion, testing::Range<std::uint64_t>(0, 10));

class BadVersion : public testing::TestWithParam<BadnessName>
{
};

TEST_P(BadVersion, isTakenBackBeforeItHarmsMany)
{
    std::chrono::milliseconds slowest{0};
    for (std::uint64_t seed = 0; seed < BAD_RUNS; ++seed) {
        const auto outcome = RolloutWorld{seed, GetParam().badness}.run();
        EXPECT_EQ(outcome.phase, Phase::RolledBack) << "seed " << seed;
        EXPECT_LE(outcome.partBeforeFault, LARGEST_PART_BEFORE_FAULT) << "seed " << seed;
        EXPECT_EQ(outcome.sentTooLate, 0U) << "seed " << seed << ", shown after " << outcome.faultShownAfter->count()
                                           << " ms, taken back after " << outcome.endedAfter.count() << " ms";
        slowest = std::max(slowest, outcome.endedAfter - *outcome.faultShownAfter);
    }
    std::printf("slowest: %lld ms\n", static_cast<long long>(slowest.count()));
}

INSTANTIATE_TEST_SUITE_P(Rollout, BadVersion, testing::ValuesIn(BADNESS_NAMES), [](const testing::TestParamInfo<BadnessName> &parameter) {
    return std::string{parameter.param.name};
});

} // namespace Briarbend::Rollout
