#include "RolloutSimulation.h"

#include <array>
#include <cstdio>
#include <gtest/gtest.h>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds COMPLETION_LIMIT{20'000};
constexpr std::uint64_t GOOD_RUNS = 100;
constexpr std::uint64_t BAD_RUNS = 20;
constexpr double LARGEST_SHARE_BEFORE_FAULT = 0.02;

struct NamedFault {
    InjectedFault injectedFault;
    const char *name;
};

constexpr std::array INJECTED_FAULTS{NamedFault{InjectedFault::FailsAlways, "FailsAlways"},
                                     NamedFault{InjectedFault::FailsSometimes, "FailsSometimes"},
                                     NamedFault{InjectedFault::Slow, "Slow"},
                                     NamedFault{InjectedFault::FailsUnderLoad, "FailsUnderLoad"},
                                     NamedFault{InjectedFault::SlowUnderLoad, "SlowUnderLoad"},
                                     NamedFault{InjectedFault::FailsLater, "FailsLater"},
                                     NamedFault{InjectedFault::SlowLater, "SlowLater"},
                                     NamedFault{InjectedFault::FailsOnOneRoute, "FailsOnOneRoute"},
                                     NamedFault{InjectedFault::SlowOnOneRoute, "SlowOnOneRoute"}};

} // namespace

class GoodVersion : public testing::TestWithParam<std::uint64_t>
{
};

TEST_P(GoodVersion, completesByDeadline)
{
    constexpr std::uint64_t GROUPS = 10;
    for (auto seed = GetParam(); seed < GOOD_RUNS; seed += GROUPS) {
        const auto outcome = RolloutSimulation{seed, InjectedFault::None}.run();
        EXPECT_EQ(outcome.phase, Phase::Done) << "seed " << seed << ", " << nameOf(outcome.fault);
        EXPECT_LE(outcome.endedAfter, COMPLETION_LIMIT) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Rollout, GoodVersion, testing::Range<std::uint64_t>(0, 10));

class BadVersion : public testing::TestWithParam<NamedFault>
{
};

TEST_P(BadVersion, isRolledBackBeforeHarmingMany)
{
    std::chrono::milliseconds slowest{0};
    for (std::uint64_t seed = 0; seed < BAD_RUNS; ++seed) {
        const auto outcome = RolloutSimulation{seed, GetParam().injectedFault}.run();
        EXPECT_EQ(outcome.phase, Phase::RolledBack) << "seed " << seed;
        EXPECT_LE(outcome.shareBeforeFault, LARGEST_SHARE_BEFORE_FAULT) << "seed " << seed;
        EXPECT_EQ(outcome.lateRequestsToNew, 0U) << "seed " << seed << ", first request affected after " << outcome.firstHarmAfter->count()
                                                 << " ms, rolled back after " << outcome.endedAfter.count() << " ms";
        slowest = std::max(slowest, outcome.endedAfter - *outcome.firstHarmAfter);
    }
    std::printf("slowest rollback: %lld ms\n", static_cast<long long>(slowest.count()));
}

INSTANTIATE_TEST_SUITE_P(Rollout, BadVersion, testing::ValuesIn(INJECTED_FAULTS), [](const testing::TestParamInfo<NamedFault> &parameter) {
    return std::string{parameter.param.name};
});

} // namespace Briarbend::Rollout
