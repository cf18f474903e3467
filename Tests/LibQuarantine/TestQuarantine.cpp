#include "QuarantineSimulation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t SEEDS = 100;
constexpr std::uint64_t POISON_REQUEST = 1000;
constexpr std::uint64_t SECOND_POISON_REQUEST = 1001;
constexpr std::uint64_t POPULAR_REQUESTS = 3;
constexpr std::uint64_t RARE_REQUESTS = 40;
constexpr std::uint64_t FIRST_NEW_REQUEST = 2000;
constexpr std::uint64_t NEW_REQUESTS = 2000;
constexpr Core::TimePoint NOW{1h};

/// Adds callers of requests that many callers send all the time, that one caller sends now and then, and that are sent once.
void addHarmlessCallers(QuarantineSimulation &simulation)
{
    for (std::uint64_t request = 0; request < POPULAR_REQUESTS; ++request) {
        for (auto caller = 0; caller < 20; ++caller) {
            simulation.addCaller(request, false, 5ms);
        }
    }
    for (std::uint64_t request = POPULAR_REQUESTS; request < POPULAR_REQUESTS + RARE_REQUESTS; ++request) {
        simulation.addCaller(request, false, 40ms);
    }
    // Each of these is seen for the first time, so that no completed request counts in its favour.
    for (std::uint64_t number = 0; number < NEW_REQUESTS; ++number) {
        simulation.addCaller(FIRST_NEW_REQUEST + number, false, 1h, std::chrono::milliseconds{2 * number});
    }
}

void expectHarmlessRequestsAreServed(const QuarantineSimulation &simulation, std::uint64_t seed)
{
    for (std::uint64_t request = FIRST_NEW_REQUEST; request < FIRST_NEW_REQUEST + NEW_REQUESTS; ++request) {
        EXPECT_EQ(simulation.refusals(request), 0U) << "new request " << request << ", seed " << seed;
    }
    for (std::uint64_t request = 0; request < POPULAR_REQUESTS + RARE_REQUESTS; ++request) {
        EXPECT_EQ(simulation.refusals(request), 0U) << "request " << request << ", seed " << seed;
        EXPECT_GT(simulation.responses(request), 20U) << "request " << request << ", seed " << seed;
    }
}

} // namespace

TEST(Quarantine, poisonRequestCrashesTwoTargetsAndOthersAreServed)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        addHarmlessCallers(simulation);
        simulation.addCaller(POISON_REQUEST, true, 0ms);
        simulation.runUntil(4s);
        EXPECT_EQ(simulation.crashesCausedBy(POISON_REQUEST), 2U) << "seed " << seed;
        EXPECT_GT(simulation.refusals(POISON_REQUEST), 100U) << "seed " << seed;
        expectHarmlessRequestsAreServed(simulation, seed);
    }
}

TEST(Quarantine, poisonRequestWithoutProtectionCrashesManyTargets)
{
    constexpr std::size_t MANY = 10;
    QuarantineSimulation simulation{1, false};
    simulation.addCaller(POISON_REQUEST, true, 0ms);
    simulation.runUntil(4s);
    EXPECT_GT(simulation.crashesCausedBy(POISON_REQUEST), MANY);
}

TEST(Quarantine, simultaneousPoisonRequestsCrashAtMostTwoTargetsEach)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        addHarmlessCallers(simulation);
        simulation.addCaller(POISON_REQUEST, true, 0ms);
        simulation.addCaller(SECOND_POISON_REQUEST, true, 0ms);
        simulation.runUntil(4s);
        EXPECT_LE(simulation.crashesCausedBy(POISON_REQUEST), 2U) << "seed " << seed;
        EXPECT_LE(simulation.crashesCausedBy(SECOND_POISON_REQUEST), 2U) << "seed " << seed;
    }
}

TEST(Quarantine, unresponsivePeerDoesNotRaiseTheCrashBound)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        simulation.freezeAt(0ms, 3, 10s);
        simulation.addCaller(POISON_REQUEST, true, 0ms);
        simulation.runUntil(9s);
        EXPECT_LE(simulation.crashesCausedBy(POISON_REQUEST), 2U) << "seed " << seed;
    }
}

TEST(Quarantine, correlatedTargetFailuresRefuseNoRequest)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        addHarmlessCallers(simulation);
        simulation.crashTargetsAt(300ms, {0});
        simulation.crashTargetsAt(700ms, {1});
        simulation.crashTargetsAt(1500ms, {4, 5, 6, 7});
        simulation.crashTargetsAt(1510ms, {8, 9});
        simulation.runUntil(4s);
        expectHarmlessRequestsAreServed(simulation, seed);
    }
}

TEST(Quarantine, poisonRequestDuringDataCentreFailureCrashesTwoTargets)
{
    for (std::uint64_t seed = 0; seed < SEEDS; ++seed) {
        QuarantineSimulation simulation{seed};
        addHarmlessCallers(simulation);
        simulation.addCaller(POISON_REQUEST, true, 0ms, 1s);
        simulation.crashTargetsAt(1030ms, {4, 5, 6, 7});
        simulation.runUntil(4s);
        EXPECT_EQ(simulation.crashesCausedBy(POISON_REQUEST), 2U) << "seed " << seed;
        expectHarmlessRequestsAreServed(simulation, seed);
    }
}

TEST(Quarantine, quarantinedRequestIsRetriedAfterItsDuration)
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

RC_GTEST_PROP(Quarantine, mergeIsIndependentOfOrderAndRepetition, ())
{
    auto reports = *rc::gen::container<std::vector<Reports>>(rc::gen::exec([] {
        const EvidenceReport evidence{.fingerprint = {*rc::gen::inRange<std::uint64_t>(0, 3), 0},
                                      .start = {std::to_string(*rc::gen::inRange(0, 4))},
                                      .state = static_cast<EvidenceState>(*rc::gen::inRange(0, 3)),
                                      .isTrial = *rc::gen::arbitrary<bool>(),
                                      .hadCompletedBefore = *rc::gen::arbitrary<bool>(),
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

TEST(Quarantine, stateIsBoundedAndStrongestSuspicionIsKept)
{
    QuarantineState state;
    const Fingerprint poisonRequest{1, 1};
    onConnectionLost(state, poisonRequest, {"a/1"}, false, NOW);
    onConnectionLost(state, poisonRequest, {"b/1"}, true, NOW);
    onStartLost(state, {"a/1"}, NOW);
    onStartLost(state, {"b/1"}, NOW);
    for (std::uint64_t number = 0; number < 100'000; ++number) {
        onConnectionLost(state, {2, number}, {"c/1"}, false, NOW);
        onCompleted(state, {3, number}, NOW, NOW);
    }
    EXPECT_LE(state.suspicions.size(), state.settings.suspicionLimit);
    EXPECT_LE(state.completedRequests.current.size() + state.completedRequests.previous.size(), 2 * state.settings.completedRequestLimit);
    EXPECT_EQ(admit(state, poisonRequest, NOW + state.settings.settlingTime).admission, Admission::Refuse);
    expire(state, NOW + 2 * state.settings.retention);
    EXPECT_TRUE(state.suspicions.empty());
}

} // namespace Briarbend::Quarantine
