#include "DeadlineSimulation.h"

#include <functional>
#include <gtest/gtest.h>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t RUNS = 20;
/// For each of many scenarios.
constexpr std::uint64_t RUNS_OF_MANY = 4;

std::size_t
countRuns(const DeadlineScenario &scenario, const std::function<bool(const DeadlineOutcome &)> &isCounted, std::uint64_t runs = RUNS)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 0; seed < runs; ++seed) {
        count += isCounted(DeadlineSimulation{scenario, seed}.run()) ? 1 : 0;
    }
    return count;
}

bool isRolledBack(const DeadlineOutcome &outcome)
{
    return outcome.status.phase == Phase::RolledBack;
}

bool isDone(const DeadlineOutcome &outcome)
{
    return outcome.status.phase == Phase::Done;
}

RolloutState makeState()
{
    const Configuration::Rollout rollout{.service = {"pattern"},
                                         .from = {"previous"},
                                         .to = {"v2"},
                                         .start = Core::WallTime{std::chrono::hours{490'000}},
                                         .finishBy = Core::WallTime{std::chrono::hours{490'000}} + 12s,
                                         .trialShare = 0.2};
    return {rollout, {"one"}, deadlineSettings()};
}

} // namespace

// Guards against completing a version because its schedule ends: all instances had lost what the trial had shown.
TEST(DeadlineRollout, badVersionIsRolledBackAfterAllInstancesRestartedInItsTrial)
{
    for (const auto restartAt : {4s, 6s, 7s, 8s}) {
        const DeadlineScenario scenario{
            .kind = BadKind::Slow, .portion = 0.5, .length = 12s, .requestsPerSecond = 40, .restartAt = restartAt};
        EXPECT_EQ(countRuns(scenario, isRolledBack), RUNS) << "restarted after " << restartAt.count() << " s";
    }
}

// The proof of a good version is gathered anew where the time suffices for it.
TEST(DeadlineRollout, goodVersionIsCompletedAfterAllInstancesRestartedEarlyInItsTrial)
{
    const DeadlineScenario scenario{.length = 16s, .requestsPerSecond = 92, .restartAt = 5s};
    EXPECT_GE(countRuns(scenario, isDone), RUNS - 1);
}

// Guards against a version that is completed although a portion of its answers is bad, spread over all targets.
TEST(DeadlineRollout, versionWithAFifthOfBadAnswersIsNotCompleted)
{
    for (const auto kind : {BadKind::Errors, BadKind::Slow, BadKind::ErrorsOnOneRoute, BadKind::ErrorsLater}) {
        const DeadlineScenario scenario{.kind = kind, .portion = 0.2};
        EXPECT_EQ(countRuns(scenario, isRolledBack), RUNS) << nameOf(kind);
        EXPECT_EQ(countRuns(scenario, isExposed), 0U) << nameOf(kind);
    }
}

// Guards against a bad version that nobody takes back once most instances are lost for good: whoever is left waited for the judgement of a
// majority of all.
TEST(DeadlineRollout, badVersionIsTakenBackByWhoeverIsLeftAfterMostInstancesAreLost)
{
    for (const std::size_t instances : {13U, 19U}) {
        for (const std::size_t remaining : {1U, 2U, 3U, 6U}) {
            for (const auto at : {-20s, 1s, 4s, 6s, 8s, 10s}) {
                for (const auto kind : {BadKind::Errors, BadKind::Slow}) {
                    const DeadlineScenario scenario{.kind = kind,
                                                    .portion = 0.4,
                                                    .timesSlower = 4,
                                                    .requestsPerSecond = 200,
                                                    .instances = instances,
                                                    .division = Division{.at = at, .remaining = remaining}};
                    EXPECT_EQ(countRuns(scenario, isExposed, RUNS_OF_MANY), 0U)
                        << nameOf(kind) << ", " << remaining << " of " << instances << " left after " << at.count() << " s";
                    EXPECT_EQ(countRuns(scenario, isRolledBack, RUNS_OF_MANY), RUNS_OF_MANY)
                        << nameOf(kind) << ", " << remaining << " of " << instances << " left after " << at.count() << " s";
                }
            }
        }
    }
}

// Guards against a good version that can't be completed, and is taken back, because most instances are lost for good.
TEST(DeadlineRollout, goodVersionIsCompletedByWhoeverIsLeftAfterMostInstancesAreLost)
{
    for (const std::size_t instances : {13U, 19U}) {
        for (const std::size_t remaining : {1U, 2U, 3U, 6U}) {
            const DeadlineScenario scenario{
                .requestsPerSecond = 200, .instances = instances, .division = Division{.at = -20s, .remaining = remaining}};
            EXPECT_GE(countRuns(scenario, isDone), RUNS - 1) << remaining << " of " << instances << " left";
        }
    }
}

// Guards against two parts of a partitioned fleet that together send a bad version more than all may, where either decides alone.
TEST(DeadlineRollout, partsOfAPartitionedFleetKeepTheExposureTogether)
{
    for (const std::size_t smaller : {1U, 6U, 9U}) {
        for (const auto at : {-20s, 2s, 6s, 9s}) {
            for (const auto kind : {BadKind::Errors, BadKind::Slow}) {
                const DeadlineScenario scenario{.kind = kind,
                                                .portion = 0.4,
                                                .timesSlower = 4,
                                                .requestsPerSecond = 200,
                                                .division = Division{.at = at, .remaining = smaller, .isPartition = true}};
                EXPECT_EQ(countRuns(scenario, isExposed, RUNS_OF_MANY), 0U)
                    << nameOf(kind) << ", " << smaller << " cut off after " << at.count() << " s";
            }
        }
    }
}

// Guards against a verdict of a few instances by their own bad links: targets that they can't reach are no fault of the version.
TEST(DeadlineRollout, targetsThatNeverAnswerAreNoFaultInTheEvidenceOfAPart)
{
    std::map<AnswerGroup, AnswerCounts> answers;
    answers[{.route = "/a", .role = VersionRole::Old, .target = {}}] = {.failures = 0, .coldSuccesses = 0, .successes = {{20, 100}}};
    for (int target = 0; target < 6; ++target) {
        auto &counts = answers[{.route = "/a", .role = VersionRole::New, .target = {std::to_string(target)}}];
        (target < 3 ? counts.failures : counts.successes[20]) = 5;
    }
    const VerdictSettings settings;
    EXPECT_LT(judge(answers, settings, SilentTargets::Counted).significance, settings.immediateSignificance);
    EXPECT_GT(judge(answers, settings, SilentTargets::LeftOut).significance, settings.provenSignificance);
}

// Guards against counting the fast answers of a slow version before its slow ones can have arrived.
TEST(DeadlineRollout, slowVersionIsNotCompletedInAShortRollout)
{
    const DeadlineScenario scenario{.kind = BadKind::Slow, .portion = 0.5, .length = 8s};
    EXPECT_EQ(countRuns(scenario, isRolledBack), RUNS);
}

TEST(DeadlineRollout, goodVersionIsCompletedByItsDeadline)
{
    EXPECT_GE(countRuns({}, isDone), RUNS - 1);
    EXPECT_GE(countRuns({.burstAt = 5s}, isDone), RUNS - 1);
    EXPECT_GE(countRuns({.slowOldShare = 0.2}, isDone), RUNS - 1);
    EXPECT_GE(countRuns({.requestsPerSecond = 26}, isDone), RUNS - 1);
    EXPECT_GE(countRuns({.requestsPerSecond = 300}, isDone), RUNS - 1);
}

TEST(DeadlineRollout, versionOfWhichNothingIsKnownIsNeverCompleted)
{
    auto state = makeState();
    for (auto passed = 0ms; passed <= 13s; passed += 100ms) {
        advanceRollout(state, state.rollout.start + passed);
        EXPECT_NE(state.status.phase, Phase::Ramping);
        judgeTrial(state, state.rollout.start + passed, {.scope = EvidenceScope::Own});
    }
    EXPECT_EQ(state.status.phase, Phase::RolledBack);
    EXPECT_EQ(state.status.fault, Fault::Unproven);
}

// Guards against a slow version whose answers nobody waits for: another target answers in its place.
TEST(DeadlineRollout, overtakenRequestsCountAsSlowAnswers)
{
    auto state = makeState();
    const auto now = state.rollout.start + 2s;
    advanceRollout(state, now);
    observe(state, {.segment = {.route = "/a"}, .role = VersionRole::New, .target = {"new"}, .latency = 700ms, .isCutShort = true}, now);
    const auto evidence = nextEvidence(state, now + 2s);
    const auto found = evidence.answers.find({.route = "/a", .role = VersionRole::New, .target = {"new"}});
    ASSERT_NE(found, evidence.answers.end());
    EXPECT_EQ(found->second.successes.at(latencyBucketOf(700ms)), 1U);
    EXPECT_EQ(found->second.failures, 0U);
    EXPECT_TRUE(evidence.failures.empty()) << "it is no trial of the comparison of failures either";
}

// A peer of an earlier version of the program advances by time and tells its phase.
TEST(DeadlineRollout, phaseOfAPeerIsNoProof)
{
    auto state = makeState();
    const auto late = state.rollout.start + 11s;
    advanceRollout(state, late);
    auto told = state.status;
    told.phase = Phase::Done;
    EXPECT_FALSE(adoptDecision(state, told));
    advanceRollout(state, late);
    EXPECT_EQ(state.status.phase, Phase::Trial);
    told.isProven = true;
    EXPECT_TRUE(adoptDecision(state, told));
    advanceRollout(state, late);
    EXPECT_EQ(state.status.phase, Phase::Done);
}

// Guards against a version that begins to fail once it has all requests: the old targets still run.
TEST(DeadlineRollout, failuresAfterTheLastStepRollBack)
{
    auto state = makeState();
    const auto late = state.rollout.start + 11s;
    state.status.isProven = true;
    advanceRollout(state, late);
    ASSERT_EQ(state.status.phase, Phase::Done);
    for (int number = 0; number < 20; ++number) {
        observe(state, {.segment = {.route = "/a"}, .role = VersionRole::New, .target = {"new"}, .isFailure = true}, late);
    }
    advanceRollout(state, late + 100ms);
    EXPECT_EQ(state.status.phase, Phase::RolledBack);
}

} // namespace Briarbend::Rollout
