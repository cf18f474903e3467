#include <LibRollout/Verdict.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

struct ResponseMix {
    std::uint64_t good;
    std::uint64_t slow;
    std::uint64_t failed;
};

/// The mix in percent of the target's answers would not be whole numbers, so each answer goes to the next target in turn.
void addAnswers(std::map<AnswerGroup, AnswerCounts> &answers, VersionRole role, const ResponseMix &mix, const std::string &route = "/a")
{
    constexpr std::uint64_t TARGETS = 6;
    const auto groupOf = [&](std::uint64_t number) {
        return AnswerGroup{
            .route = route, .role = role, .target = {role == VersionRole::New ? "new-" + std::to_string(number % TARGETS) : std::string{}}};
    };
    for (std::uint64_t number = 0; number < mix.good; ++number) {
        ++answers[groupOf(number)].successes[latencyBucketOf(300ms)];
    }
    for (std::uint64_t number = 0; number < mix.slow; ++number) {
        ++answers[groupOf(number)].successes[latencyBucketOf(2300ms)];
    }
    for (std::uint64_t number = 0; number < mix.failed; ++number) {
        ++answers[groupOf(number)].failures;
    }
}

Verdict verdictOn(const ResponseMix &oldMix, const ResponseMix &newMix)
{
    std::map<AnswerGroup, AnswerCounts> answers;
    addAnswers(answers, VersionRole::Old, oldMix);
    addAnswers(answers, VersionRole::New, newMix);
    return judge(answers, {});
}

} // namespace

// Fisher's lady tasting tea: all four cups of eight.
TEST(Verdict, tailProbabilityIsExact)
{
    EXPECT_NEAR(tailProbability(4, 4, 4, 8), 1.0 / 70, 1e-12);
    EXPECT_NEAR(tailProbability(3, 4, 4, 8), 17.0 / 70, 1e-12);
    EXPECT_EQ(tailProbability(0, 4, 4, 8), 1);
    EXPECT_EQ(tailProbability(5, 4, 4, 8), 0);
}

RC_GTEST_PROP(Verdict, tailProbabilityFallsWithTheEvents, ())
{
    const auto total = *rc::gen::inRange<std::uint64_t>(2, 3000);
    const auto sampled = *rc::gen::inRange<std::uint64_t>(1, total);
    const auto totalEvents = *rc::gen::inRange<std::uint64_t>(0, total);
    const auto events = *rc::gen::inRange<std::uint64_t>(0, std::min(sampled, totalEvents) + 1);
    const auto chance = tailProbability(events, sampled, totalEvents, total);
    RC_ASSERT(chance >= 0 && chance <= 1);
    RC_ASSERT(tailProbability(events + 1, sampled, totalEvents, total) <= chance + 1e-9);
}

// Guards against completing a rollout of a slow version in a noisy service, where a few requests are all there is.
TEST(Verdict, slowVersionInNoisyServiceIsUnproven)
{
    EXPECT_LT(verdictOn({160, 70, 20}, {2, 12, 2}).significance, VerdictSettings{}.finalSignificance);
}

TEST(Verdict, versionAsGoodAsOldOneIsProven)
{
    for (const auto &verdict : {verdictOn({160, 70, 20}, {20, 8, 3}), verdictOn({200, 2, 0}, {16, 0, 0})}) {
        EXPECT_TRUE(verdict.isSufficient);
        EXPECT_GE(verdict.significance, VerdictSettings{}.provenSignificance);
    }
}

// Guards against taking missing evidence for good evidence: also a service with hardly any traffic has shown nothing.
TEST(Verdict, tooFewAnswersAreInsufficient)
{
    EXPECT_FALSE(verdictOn({200, 2, 0}, {5, 0, 0}).isSufficient);
    EXPECT_FALSE(verdictOn({10, 0, 0}, {0, 0, 0}).isSufficient);
}

// Guards against a version of which a fifth of the answers is slow, spread over all targets, so that no target is slow.
TEST(Verdict, fifthOfSlowAnswersIsFound)
{
    const auto verdict = verdictOn({490, 10, 0}, {48, 12, 0});
    EXPECT_LT(verdict.significance, VerdictSettings{}.immediateSignificance);
    EXPECT_EQ(verdict.fault, Fault::Slowness);
}

TEST(Verdict, failuresOnOneRouteAreFoundThere)
{
    std::map<AnswerGroup, AnswerCounts> answers;
    addAnswers(answers, VersionRole::Old, {400, 4, 1});
    addAnswers(answers, VersionRole::New, {40, 0, 0});
    addAnswers(answers, VersionRole::Old, {100, 1, 0}, "/b");
    addAnswers(answers, VersionRole::New, {6, 0, 5}, "/b");
    const auto verdict = judge(answers, {});
    EXPECT_LT(verdict.significance, VerdictSettings{}.immediateSignificance);
    EXPECT_EQ(verdict.fault, Fault::Failures);
    EXPECT_EQ(verdict.route, "/b");
}

// Guards against rolling back a good version for one target that is slow by itself.
TEST(Verdict, oneSlowTargetIsNotTheVersion)
{
    std::map<AnswerGroup, AnswerCounts> answers;
    addAnswers(answers, VersionRole::Old, {490, 10, 0});
    addAnswers(answers, VersionRole::New, {54, 1, 0});
    answers[{.route = "/a", .role = VersionRole::New, .target = {"new-slow"}}].successes[latencyBucketOf(2300ms)] += 10;
    EXPECT_GE(judge(answers, {}).significance, VerdictSettings{}.provenSignificance);
}

} // namespace Briarbend::Rollout
