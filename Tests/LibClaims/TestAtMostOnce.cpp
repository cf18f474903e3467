#include "ClaimSimulation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Claims
{

namespace
{

constexpr std::size_t CHOICES_PER_RUN = 1200;
constexpr std::uint64_t SEEDED_RUNS = 2000;
constexpr std::uint64_t RUNS_PER_MUTATION = 2000;

std::vector<std::uint32_t> randomChoices(std::uint64_t seed)
{
    Core::Random random{seed};
    std::vector<std::uint32_t> choices(CHOICES_PER_RUN);
    std::generate(choices.begin(), choices.end(), [&random] {
        return static_cast<std::uint32_t>(random.bits() >> 32U);
    });
    return choices;
}

const char *nameOf(Mutation mutation)
{
    constexpr std::array NAMES{"None",
                               "StoreIgnoresExpectedVersion",
                               "SendsWithoutClaim",
                               "SendsOnLateGrant",
                               "ReleasesAfterLostConnection",
                               "GrantsBeforeWrite",
                               "EvictsLiveClaims",
                               "TakesOverFromSilentHolder",
                               "RefusesWithoutKnowingEarlierSubmissions"};
    return NAMES.at(static_cast<std::size_t>(mutation));
}

} // namespace

RC_GTEST_PROP(AtMostOnce, holdsUnderAnySchedule, ())
{
    const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(*rc::gen::inRange<std::size_t>(0, CHOICES_PER_RUN),
                                                                         rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    ClaimSimulation simulation{choices, Mutation::None};
    simulation.run();
    RC_ASSERT(simulation.violations() == std::set<Violation>{});
}

TEST(AtMostOnce, holdsInSeededRunsWithFaultsAtEveryStep)
{
    std::size_t runs = 0;
    std::size_t replays = 0;
    std::size_t notRun = 0;
    for (std::uint64_t seed = 0; seed < SEEDED_RUNS; ++seed) {
        ClaimSimulation simulation{randomChoices(seed), Mutation::None};
        simulation.run();
        ASSERT_EQ(simulation.violations(), std::set<Violation>{}) << "seed " << seed;
        runs += simulation.runCount();
        replays += simulation.replayCount();
        notRun += simulation.notRunCount();
    }
    RecordProperty("runs", std::to_string(runs));
    RecordProperty("replays", std::to_string(replays));
    RecordProperty("notRun", std::to_string(notRun));
    // The schedules must include enough runs, replays and refusals for the guarantees to be tested.
    EXPECT_GT(runs, SEEDED_RUNS);
    EXPECT_GT(replays, SEEDED_RUNS / 2);
    EXPECT_GT(notRun, SEEDED_RUNS / 8);
    std::printf("%zu runs, %zu replays, %zu refusals as not run\n", runs, replays, notRun);
}

TEST(AtMostOnce, everyKeyRunsWithoutFaults)
{
    constexpr std::size_t KEY_COUNT = 300;
    ClaimSimulation simulation{{}, Mutation::None};
    simulation.runWithoutFaults(KEY_COUNT);
    EXPECT_EQ(simulation.runCount(), KEY_COUNT);
    EXPECT_EQ(simulation.violations(), std::set<Violation>{});
}

class RemovedProtection : public testing::TestWithParam<Mutation>
{
};

TEST_P(RemovedProtection, isReportedAsViolation)
{
    for (std::uint64_t seed = 0; seed < RUNS_PER_MUTATION; ++seed) {
        ClaimSimulation simulation{randomChoices(seed), GetParam()};
        simulation.run();
        const auto violations = simulation.violations();
        if (violations.contains(Violation::RanTwice) || violations.contains(Violation::RanDespiteRefusal)) {
            return;
        }
    }
    FAIL() << "no violation in " << RUNS_PER_MUTATION << " runs";
}

INSTANTIATE_TEST_SUITE_P(AtMostOnce,
                         RemovedProtection,
                         testing::Values(Mutation::StoreIgnoresExpectedVersion,
                                         Mutation::SendsWithoutClaim,
                                         Mutation::SendsOnLateGrant,
                                         Mutation::ReleasesAfterLostConnection,
                                         Mutation::GrantsBeforeWrite,
                                         Mutation::EvictsLiveClaims,
                                         Mutation::TakesOverFromSilentHolder,
                                         Mutation::RefusesWithoutKnowingEarlierSubmissions),
                         [](const testing::TestParamInfo<Mutation> &parameter) {
                             return std::string{nameOf(parameter.param)};
                         });

} // namespace Briarbend::Claims
