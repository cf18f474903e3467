#include "QuarantineWorld.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t SEEDS = 100;
constexpr std::uint64_t CULPRIT = 1000;
constexpr std::uint64_t SECOND_CULPRIT = 1001;
constexpr std::uint64_t POPULAR_REQUESTS = 3;
constexpr std::uint64_t RARE_REQUESTS = 40;
constexpr std::uint64_t FIRST_NEW_REQUEST = 2000;
constexpr std::uint64_t NEW_REQUESTS = 2000;
constexpr Core::TimePoint NOW{1h};

/// Requests that many callers send all the time, that one caller sends now and then, and that are sent once.
void addInnocentCallers(QuarantineWorld &world)
{
    for (std::uint64_t request = 0; request < POPULAR_REQUESTS; ++request) {
        for (auto caller = 0; caller < 20; ++caller) {
            world.addCaller(request, false, 5ms);
        }
    }
    for (std::uint64_t request = POPULAR_REQUESTS; request < POPULAR_REQUESTS + RARE_REQUESTS; ++request) {
        world.addCaller(request, false, 40ms);
    }
    // Each of these is seen for the first time, so that nothing speaks for it.
    for (std::uint64_t number = 0; number < NEW_REQUESTS; ++number) {
        world.addCaller(FIRST_NEW_REQUEST + number, false, 1h, std::chrono::milliseconds{2 * number});
    }
}

void expectInnocentsAreServed(const QuarantineWorld &world, std::uint64_t seed)
{
    for (std::uint64_t request = FIRST_NEW_REQUEST; request < FIRST_NEW_REQUEST + NEW_REQUESTS; ++request) {
        EXPECT_EQ(world.refusals(request), 0U) << "new request " << request << ", seed " << seed;
    }
    for (std::uint64_t request = 0; request < POPULAR_REQUESTS + RARE_REQUESTS; ++request) {
        EXPECT_EQ(world.refusals(request), 0U) << "request " << request << ", seed " << seed;
        EXPECT_GT(world.answers(request), 20U) << "request " << request << ", seed " << seed;
    }
}

} // namespace

TEST(Quarantine, aCulpritBreaksTwoTargetsAtMostAndNobodyElseIsRefused)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineWorld world{seed};
        addInnocentCallers(world);
        world.addCaller(CULPRIT, true, 0ms);
        world.runUntil(4s);
        EXPECT_EQ(world.brokenBy(CULPRIT), 2U) << "seed " << seed;
        EXPECT_GT(world.refusals(CULPRIT), 100U) << "seed " << seed;
        expectInnocentsAreServed(world, seed);
    }
}

TEST(Quarantine, withoutProtectionACulpritBreaksManyTargets)
{
    constexpr std::size_t MANY = 10;
    QuarantineWorld world{1, false};
    world.addCaller(CULPRIT, true, 0ms);
    world.runUntil(4s);
    EXPECT_GT(world.brokenBy(CULPRIT), MANY);
}

TEST(Quarantine, twoCulpritsDoNotCoverForEachOther)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineWorld world{seed};
        addInnocentCallers(world);
        world.addCaller(CULPRIT, true, 0ms);
        world.addCaller(SECOND_CULPRIT, true, 0ms);
        world.runUntil(4s);
        EXPECT_LE(world.brokenBy(CULPRIT), 2U) << "seed " << seed;
        EXPECT_LE(world.brokenBy(SECOND_CULPRIT), 2U) << "seed " << seed;
    }
}

TEST(Quarantine, aSilentPeerDoesNotWeakenTheBoundForTheOthers)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineWorld world{seed};
        world.freezeAt(0ms, 3, 10s);
        world.addCaller(CULPRIT, true, 0ms);
        world.runUntil(9s);
        EXPECT_LE(world.brokenBy(CULPRIT), 2U) << "seed " << seed;
    }
}

TEST(Quarantine, coincidingRestartsAndDataCentreFailuresRefuseNobody)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineWorld world{seed};
        addInnocentCallers(world);
        world.breakTargetsAt(300ms, {0});
        world.breakTargetsAt(700ms, {1});
        world.breakTargetsAt(1500ms, {4, 5, 6, 7});
        world.breakTargetsAt(1510ms, {8, 9});
        world.runUntil(4s);
        expectInnocentsAreServed(world, seed);
    }
}

TEST(Quarantine, aDataCentreFailureDoesNotCoverForACulprit)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineWorld world{seed};
        addInnocentCallers(world);
        world.addCaller(CULPRIT, true, 0ms, 1s);
        world.breakTargetsAt(1030ms, {4, 5, 6, 7});
        world.runUntil(4s);
        EXPECT_EQ(world.brokenBy(CULPRIT), 2U) << "seed " << seed;
        expectInnocentsAreServed(world, seed);
    }
}

TEST(Quarantine, aRequestIsTriedAgainAfterItsTime)
{
    QuarantineState state;
    const Fingerprint fingerprint{1, 2};
    for (const auto *start : {"a/1", "b/1"}) {
        onConnectionLost(state, fingerprint, {start}, true, NOW);
        onStartLost(state, {start}, NOW);
    }
    EXPECT_EQ(admit(state, fingerprint, NOW).admission, Admission::WaitForTrial);
    const auto settled = NOW + state.settings.settlingTime;
    const auto refused = admit(state, fingerprint, settled);
    EXPECT_EQ(refused.admission, Admission::Refuse);
    EXPECT_EQ(refused.retryAfter, state.settings.duration - state.settings.settlingTime);
    const auto later = NOW + state.settings.duration;
    EXPECT_EQ(admit(state, fingerprint, later).admission, Admission::AnnounceTrial);
    onConnectionLost(state, fingerprint, {"c/1"}, true, later);
    onStartLost(state, {"c/1"}, later);
    EXPECT_EQ(admit(state, fingerprint, later + 1s).retryAfter, 2 * state.settings.duration - 1s);
    onCompleted(state, fingerprint, later + 1s, later + 2s);
    EXPECT_EQ(admit(state, fingerprint, later + 2s).admission, Admission::Allow);
}

RC_GTEST_PROP(Quarantine, mergingInAnyOrderAndRepeatedlyAgrees, ())
{
    auto reports = *rc::gen::container<std::vector<Reports>>(rc::gen::exec([] {
        const EvidenceReport evidence{.fingerprint = {*rc::gen::inRange<std::uint64_t>(0, 3), 0},
                                      .start = {std::to_string(*rc::gen::inRange(0, 4))},
                                      .state = static_cast<EvidenceState>(*rc::gen::inRange(0, 3)),
                                      .isTrial = *rc::gen::arbitrary<bool>(),
                                      .hadRunClean = *rc::gen::arbitrary<bool>(),
                                      .age = 0ms};
        return Reports{.evidence = {evidence}, .lostStarts = {{{std::to_string(*rc::gen::inRange(0, 6))}, 0ms}}};
    }));
    const auto merged = [](const std::vector<Reports> &list) {
        QuarantineState state;
        for (const auto &entry : list) {
            merge(state, decodeReports(encodeReports(entry)), NOW);
        }
        return state;
    };
    const auto forward = merged(reports);
    std::reverse(reports.begin(), reports.end());
    reports.insert(reports.end(), reports.begin(), reports.end());
    const auto backward = merged(reports);
    for (std::uint64_t number = 0; number < 3; ++number) {
        const auto one = admit(forward, {number, 0}, NOW + 1s);
        const auto other = admit(backward, {number, 0}, NOW + 1s);
        RC_ASSERT(one.admission == other.admission);
        RC_ASSERT(one.retryAfter == other.retryAfter);
    }
}

TEST(Quarantine, memoryIsBoundedAndTheStrongestSuspicionStays)
{
    QuarantineState state;
    const Fingerprint culprit{1, 1};
    onConnectionLost(state, culprit, {"a/1"}, false, NOW);
    onConnectionLost(state, culprit, {"b/1"}, true, NOW);
    onStartLost(state, {"a/1"}, NOW);
    onStartLost(state, {"b/1"}, NOW);
    for (std::uint64_t number = 0; number < 100'000; ++number) {
        onConnectionLost(state, {2, number}, {"c/1"}, false, NOW);
        onCompleted(state, {3, number}, NOW, NOW);
    }
    EXPECT_LE(state.suspicions.size(), state.settings.suspicionLimit);
    EXPECT_LE(state.cleanRuns.current.size() + state.cleanRuns.previous.size(), 2 * state.settings.cleanRunLimit);
    EXPECT_EQ(admit(state, culprit, NOW + state.settings.settlingTime).admission, Admission::Refuse);
    expire(state, NOW + 2 * state.settings.retention);
    EXPECT_TRUE(state.suspicions.empty());
}

} // namespace Briarbend::Quarantine
