#include <Tests/LibLimits/ColdTargets/Fleet.h>

#include <LibCore/RendezvousHash.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Limits
{

using Model::Fleet;
using Model::WARM_AFTER_REQUESTS;
using namespace std::chrono_literals;

RC_GTEST_PROP(ColdGate, coldRequestLimitHoldsThroughPartitionsFreezesReplacementsAndRestarts, (std::uint64_t seed))
{
    const auto instances = *rc::gen::inRange<std::size_t>(1, 8);
    const auto coldRequests = *rc::gen::inRange(1U, 3U);
    Fleet fleet(seed, instances, 3, coldRequests);
    // Instances that start together adopt the warmth that the targets report.
    fleet.run(10s, false);
    RC_ASSERT(fleet.areAllWarmEverywhere());
    fleet.run(90s, true);
    RC_ASSERT(fleet.maximumConcurrentTrials <= coldRequests);
    RC_ASSERT(fleet.falselyWarmSends == 0U);
    fleet.healPartitions();
    fleet.run(40s, false);
    RC_ASSERT(fleet.maximumConcurrentTrials <= coldRequests);
    RC_ASSERT(fleet.areAllWarmEverywhere());
    RC_CLASSIFY(fleet.trials > 0);
}

TEST(ColdGate, restartedDataCentreWarmsUpAllTargetsConcurrently)
{
    constexpr std::size_t TARGETS = 20;
    Fleet fleet(5, 13, TARGETS, 1);
    fleet.run(10s, false);
    ASSERT_TRUE(fleet.areAllWarmEverywhere());
    for (std::size_t target = 0; target < TARGETS; ++target) {
        fleet.restartTarget(target);
    }
    // 20 requests of 0.1 s each, one at a time, some of them of up to 2 s, and then the time until the updates reach all instances.
    fleet.run(10s, false);
    EXPECT_TRUE(fleet.areAllWarmEverywhere());
    EXPECT_EQ(fleet.maximumConcurrentTrials, 1U);
    EXPECT_EQ(fleet.falselyWarmSends, 0U);
}

TEST(ColdGate, newSenderWaitsUntilLastRequestOfFormerSenderEnds)
{
    const std::vector<Core::InstanceId> both{{"a"}, {"b"}};
    const Core::TargetId target{"10.0.0.1:80"};
    const auto newSender = Core::rendezvousWeight("a", target.value) > Core::rendezvousWeight("b", target.value) ? both[0] : both[1];
    const auto formerSender = newSender == both[0] ? both[1] : both[0];
    ColdGate gate;
    const Core::TimePoint start{100s};
    updateTargetList(gate, {{target, 1, WARM_AFTER_REQUESTS}});
    // Up to two contact timeouts pass until the former sender knows of this one; its last request may then take the maximum duration.
    const auto lastEnd = start + 2 * gate.parameters.contactTimeout + gate.parameters.maximumRequestDuration;
    auto now = start;
    const auto advanceTo = [&](Core::TimePoint end) {
        for (; now < end; now += 100ms) {
            updateMembership(gate, {.self = newSender, .members = both, .expected = 2, .contacts = {{formerSender, now, true}}}, now);
        }
        return sendPermission(gate, target, end);
    };
    EXPECT_EQ(advanceTo(lastEnd), SendPermission::Refuse);
    EXPECT_EQ(advanceTo(start + settlingTime(gate.parameters) + 200ms), SendPermission::TrialAllowed);
    // An instance that is no longer a sender may not send from that moment on.
    updateMembership(gate, {.self = formerSender, .members = both, .expected = 2, .contacts = {{newSender, now, true}}}, now);
    EXPECT_EQ(sendPermission(gate, target, now), SendPermission::Refuse);
}

TEST(ColdGate, targetAddedLaterIsColdAndSettledSenderMayTryItAtOnce)
{
    ColdGate gate;
    Core::TimePoint now{100s};
    const auto advance = [&](Core::Duration time) {
        for (const auto end = now + time; now < end; now += 100ms) {
            updateMembership(gate, {.self = {"a"}, .members = {{"a"}}, .expected = 1, .contacts = {}}, now);
        }
    };
    advance(100ms);
    // An empty list does not count as the first list.
    updateTargetList(gate, {});
    updateTargetList(gate, {{{"known"}, 1, WARM_AFTER_REQUESTS}});
    recordReport(gate, {"known"}, Core::TargetStartId{"1"}, false);
    EXPECT_EQ(sendPermission(gate, {"known"}, now), SendPermission::Warm);
    advance(settlingTime(gate.parameters));
    updateTargetList(gate, {{{"known"}, 1, WARM_AFTER_REQUESTS}, {{"new"}, 1, WARM_AFTER_REQUESTS}});
    recordReport(gate, {"new"}, Core::TargetStartId{"1"}, false);
    EXPECT_EQ(sendPermission(gate, {"known"}, now), SendPermission::Warm);
    EXPECT_EQ(sendPermission(gate, {"new"}, now), SendPermission::TrialAllowed);
}

TEST(ColdGate, suddenlySlowTargetsTurnColdUpToMaximumSuspectedShare)
{
    ColdGate gate;
    Core::TimePoint now{100s};
    std::vector<WarmupLimits> limits(10, {{}, 1, WARM_AFTER_REQUESTS});
    std::ranges::for_each(limits, [number = 0](WarmupLimits &entry) mutable {
        entry.target = {std::to_string(number++)};
    });
    updateTargetList(gate, limits);
    updateMembership(gate, {.self = {"a"}, .members = {{"a"}}, .expected = 1, .contacts = {}}, now);
    const auto cold = [&] {
        return std::ranges::count_if(gate.targets, [&](const auto &entry) {
            return sendPermission(gate, entry.first, now) != SendPermission::Warm;
        });
    };
    for (const auto &[target, coldRequests, warmAfter] : limits) {
        recordReport(gate, target, Core::TargetStartId{"1"}, false);
        for (int answer = 0; answer < 10; ++answer) {
            recordSuccessfulAnswer(gate, target, 5ms, true);
        }
        // Slow answers under load do not indicate a cold start.
        for (int answer = 0; answer < 10; ++answer) {
            recordSuccessfulAnswer(gate, target, 100ms, false);
        }
    }
    EXPECT_EQ(cold(), 0);
    for (const auto &[target, coldRequests, warmAfter] : limits) {
        for (int answer = 0; answer < 3; ++answer) {
            recordSuccessfulAnswer(gate, target, 100ms, true);
        }
    }
    EXPECT_EQ(cold(), 3);
    // A suspicion begins a new epoch, which a warm update of the previous epoch does not end.
    const auto suspected = std::ranges::find_if(gate.targets, [](const auto &entry) {
        return entry.second.isSuspected;
    });
    applyWarmthUpdate(gate, {.target = suspected->first, .start = {"1"}, .epoch = 0, .isWarm = true});
    EXPECT_EQ(cold(), 3);
    applyWarmthUpdate(gate, {.target = suspected->first, .start = {"1"}, .epoch = 1, .isWarm = true});
    EXPECT_EQ(cold(), 2);
}

} // namespace Briarbend::Limits
