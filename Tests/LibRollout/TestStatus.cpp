#include <LibRollout/CodecError.h>
#include <LibRollout/Rollout.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::WallTime START{std::chrono::hours{490'000}};

Status arbitraryStatus()
{
    return {.service = {"pattern"},
            .from = {"1"},
            .to = {*rc::gen::element<std::string>("2", "3")},
            .start = START + std::chrono::milliseconds{*rc::gen::inRange(0, 2)},
            .phase = static_cast<Phase>(*rc::gen::inRange(0, 5)),
            .step = *rc::gen::inRange<std::uint32_t>(0, 3),
            .since = START + std::chrono::milliseconds{*rc::gen::inRange(0, 3)},
            .fault = static_cast<Fault>(*rc::gen::inRange(0, 4)),
            .faultRoute = *rc::gen::element<std::string>("", "/a"),
            .isProven = *rc::gen::arbitrary<bool>()};
}

RolloutState makeState(const std::string &instance)
{
    const Configuration::Rollout rollout{
        .service = {"pattern"}, .from = {"1"}, .to = {"2"}, .start = START, .finishBy = START + 20s, .trialShare = 0.01};
    return {rollout, {instance}, {}};
}

} // namespace

RC_GTEST_PROP(Status, mergeIsCommutativeAssociativeAndIdempotent, ())
{
    const auto a = arbitraryStatus();
    const auto b = arbitraryStatus();
    const auto c = arbitraryStatus();
    RC_ASSERT(merge(a, b) == merge(b, a));
    RC_ASSERT(merge(a, merge(b, c)) == merge(merge(a, b), c));
    RC_ASSERT(merge(a, a) == a);
    if (isSameRollout(a, b) && a.phase == Phase::RolledBack) {
        RC_ASSERT(merge(a, b).phase == Phase::RolledBack);
    }
    RC_ASSERT(decodeStatus(encodeStatus(a)) == a);
}

RC_GTEST_PROP(Status, decodingMalformedBytesThrowsCodecError, (const std::string &text))
{
    RC_ASSERT_THROWS_AS(decodeStatus(text), CodecError);
    RC_ASSERT_THROWS_AS(decodeEvidence({text.begin(), text.end()}), CodecError);
}

TEST(Evidence, encodingRoundTripsAndStaleRevisionIsIgnored)
{
    auto one = makeState("one");
    setTargets(one, {{"old"}}, {{"new"}}, START);
    advanceRollout(one, START);
    for (auto number = 0; number < 100; ++number) {
        observe(one, {.segment = {.route = "/a"}, .role = VersionRole::Old, .target = {"old"}, .latency = 5ms}, START);
    }
    observe(one, {.segment = {.route = "/a"}, .role = VersionRole::New, .target = {"new"}, .latency = 50ms}, START);
    observe(one, {.segment = {.route = "/b"}, .role = VersionRole::New, .target = {"new"}, .isFailure = true}, START);
    const auto evidence = nextEvidence(one, START + 2s);
    EXPECT_FALSE(evidence.latencies.empty());
    EXPECT_EQ(decodeEvidence(encodeEvidence(evidence)), evidence);

    auto other = makeState("other");
    mergeEvidence(other, one.self, evidence);
    auto older = evidence;
    older.failures.clear();
    mergeEvidence(other, one.self, older);
    EXPECT_EQ(other.peerEvidence.at(one.self), evidence);
}

TEST(Rollout, rolledBackVersionStaysRolledBackAcrossTimePeersAndStore)
{
    auto state = makeState("one");
    EXPECT_EQ(newVersionShare(state, {.route = "/a"}, START), 0);
    advanceRollout(state, START);
    EXPECT_GT(newVersionShare(state, {.route = "/a"}, START), 0);
    auto takenBack = state.status;
    takenBack.phase = Phase::RolledBack;
    EXPECT_TRUE(mergeStatus(state, takenBack));
    auto done = takenBack;
    done.phase = Phase::Done;
    mergeStatus(state, done);
    advanceRollout(state, START + 1h);
    EXPECT_EQ(state.status.phase, Phase::RolledBack);
    EXPECT_EQ(newVersionShare(state, {.route = "/a"}, START + 1h), 0);
}

// All instances repeated their evidence to the evaluators twenty times a second while a version was under suspicion.
TEST(Rollout, evidenceOfASuspectVersionIsUrgentOnlyAfterNewResponses)
{
    auto state = makeState("a");
    const auto now = START + 1s;
    state.status.phase = Phase::Trial;
    state.suspectRoutes[""] = now + 10s;
    EXPECT_FALSE(isEvidenceUrgent(state, now)) << "no response so far";
    const Observation response{.segment = {"/a"}, .role = VersionRole::Old, .target = {"t"}, .latency = 1ms};
    observe(state, response, now);
    EXPECT_TRUE(isEvidenceUrgent(state, now));
    EXPECT_FALSE(isEvidenceUrgent(state, now + 1s)) << "the response has been reported";
    observe(state, response, now + 1s);
    nextEvidence(state, now + 1s);
    EXPECT_FALSE(isEvidenceUrgent(state, now + 2s)) << "reported in its turn";
}

TEST(Rollout, serviceWithoutTrafficCompletesByDeadline)
{
    auto state = makeState("one");
    for (auto passed = 0ms; passed <= 20s; passed += 100ms) {
        advanceRollout(state, START + passed);
    }
    EXPECT_EQ(state.status.phase, Phase::Done);
}

namespace
{

struct ResponseMix {
    std::size_t good;
    std::size_t slow;
    std::size_t failed;
};

/// State of a rollout after the given responses of both versions, spread over five targets.
RolloutState stateAfterTrial(const ResponseMix &oldMix, const ResponseMix &newMix)
{
    auto state = makeState("one");
    state.settings.minimumSuccesses = 15;
    const auto add = [&state](VersionRole role, std::size_t count, bool isFailure, std::chrono::milliseconds latency) {
        for (std::size_t number = 0; number < count; ++number) {
            observe(state,
                    {.segment = {.route = "/a"},
                     .role = role,
                     .target = {"t" + std::to_string(number % 5)},
                     .isFailure = isFailure,
                     .latency = latency,
                     .slowThreshold = 800ms},
                    START + 10s);
        }
    };
    advanceRollout(state, START + 1s);
    for (const auto &[role, mix] : {std::pair{VersionRole::Old, oldMix}, std::pair{VersionRole::New, newMix}}) {
        add(role, mix.good, false, 300ms);
        add(role, mix.slow, false, 2300ms);
        add(role, mix.failed, true, 100ms);
    }
    advanceRollout(state, START + 12s);
    return state;
}

} // namespace

// Guards against a rollback for failures that begin in both versions at the same moment. It happened because the old version's failures
// were taken over ten seconds and the new one's over the last two.
TEST(Rollout, failuresStartingInBothVersionsAtOnceDoNotRollBack)
{
    auto state = makeState("one");
    state.settings.retainedIntervals = 40;
    advanceRollout(state, START + 1s);
    const auto add = [&state](VersionRole role, std::chrono::milliseconds at, bool isFailure) {
        observe(
            state,
            {.segment = {.route = "/a"}, .role = role, .target = {"t"}, .isFailure = isFailure, .latency = 300ms, .slowThreshold = 800ms},
            START + at);
    };
    int number = 0;
    for (auto at = 0ms; at < 10s; at += 50ms) {
        ++number;
        const bool isBad = at >= 9s && number % 5 < 3;
        add(VersionRole::Old, at, isBad);
        add(VersionRole::Old, at, isBad);
        add(VersionRole::New, at, isBad);
    }
    advanceRollout(state, START + 10s);
    EXPECT_NE(state.status.phase, Phase::RolledBack) << nameOf(state.status.fault);
}

TEST(Rollout, unprovenVersionIsRolledBackOnce)
{
    auto state = stateAfterTrial({200, 2, 0}, {5, 0, 0});
    const auto status = rollBack(state, Fault::Unproven, START + 12s);
    ASSERT_TRUE(status);
    EXPECT_EQ(status->phase, Phase::RolledBack);
    EXPECT_EQ(newVersionShare(state, {.route = "/a"}, START + 13s), 0);
    EXPECT_FALSE(rollBack(state, Fault::Unproven, START + 13s));
}

} // namespace Briarbend::Rollout
