#include <Tests/LibGossip/Fleet.h>

#include <gtest/gtest.h>

namespace Briarbend::Membership
{

using Gossip::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// True where no instance has any of the given instances among its alive members.
bool areDropped(Fleet &fleet, const std::set<Core::InstanceId> &gone)
{
    return fleet.all([&gone](const Gossip::State &state) {
        return std::ranges::none_of(aliveMembers(state.members), [&gone](const auto &id) {
            return gone.contains(id);
        });
    });
}

std::size_t minimumAlive(Fleet &fleet)
{
    std::size_t least = fleet.nodes.size();
    for (const auto &[address, node] : fleet.nodes) {
        least = std::min(least, aliveMembers(node.state.members).size());
    }
    return least;
}

} // namespace

// Watchers send changes of the store to the instances that they know. Where hundreds started at once, most were unknown to most for
// minutes, and targets that left stayed in use there.
TEST(Membership, hundredsOfInstancesThatStartTogetherKnowEachOtherBeforeTheFirstRequest)
{
    constexpr std::size_t INSTANCES = 472;
    // Requests come this long after the platform has started the instances.
    constexpr seconds UNTIL_FIRST_REQUEST{10};
    Fleet fleet{INSTANCES, 1};
    fleet.run(UNTIL_FIRST_REQUEST);
    EXPECT_EQ(minimumAlive(fleet), INSTANCES);
}

TEST(Membership, leavingInstanceIsDroppedWithinTwoSecondsUnderMessageLoss)
{
    milliseconds slowest{0};
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        Fleet fleet{32, seed};
        fleet.settle();
        fleet.loop.lossShare = 0.05;
        auto &leaving = fleet.node(11);
        const std::set<Core::InstanceId> gone{leaving.state.members.self};
        fleet.send(Fleet::addressOf(11), Gossip::leave(leaving.state, fleet.loop.now));
        const auto time = fleet.timeUntil(
            [&] {
                return areDropped(fleet, gone);
            },
            seconds{10});
        ASSERT_TRUE(time) << seed;
        slowest = std::max(slowest, *time);
    }
    std::cout << "leaving instance dropped at all instances after at most " << slowest.count() << " ms\n";
    EXPECT_LE(slowest, seconds{2});
}

TEST(Membership, stoppedInstancesAreGoneWithinTheDetectionBound)
{
    for (const std::size_t failures : {1U, 6U}) {
        milliseconds slowest{0};
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
            Fleet fleet{19, seed};
            fleet.settle();
            fleet.run(seconds{5});
            std::set<Core::InstanceId> gone;
            for (std::size_t index = 0; index < failures; ++index) {
                gone.insert(fleet.node(index * 3).state.members.self);
                fleet.nodes.erase(Fleet::addressOf(index * 3));
            }
            const auto time = fleet.timeUntil(
                [&] {
                    return areDropped(fleet, gone);
                },
                seconds{30});
            ASSERT_TRUE(time) << seed;
            slowest = std::max(slowest, *time);
            EXPECT_EQ(minimumAlive(fleet), fleet.nodes.size()) << "only the stopped instances are dropped, seed " << seed;
            EXPECT_TRUE(fleet.all([&](const Gossip::State &state) {
                return hasQuorum(state.members, seconds{4}, fleet.loop.now);
            }));
        }
        std::cout << failures << " stopped: dropped at all instances after at most " << slowest.count() << " ms, bound "
                  << detectionBound(failures).count() << " ms\n";
        EXPECT_LE(slowest, detectionBound(failures));
    }
}

TEST(Membership, messageLossAndShortFreezesDropNoRunningInstance)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        Fleet fleet{19, seed};
        fleet.settle();
        fleet.loop.lossShare = 0.05;
        std::size_t fewest = 19;
        for (int second = 0; second < 60; ++second) {
            // A process that freezes for less than PROBE_TIMEOUT plus SUSPICION_TIMEOUT is not dropped.
            const auto address = Fleet::addressOf(static_cast<std::size_t>(second) % 19);
            fleet.loop.frozen.insert(address);
            fleet.run(milliseconds{600});
            fleet.loop.release(address);
            fleet.run(milliseconds{400});
            fewest = std::min(fewest, minimumAlive(fleet));
        }
        EXPECT_EQ(fewest, 19U) << seed;
    }
}

TEST(Membership, replacementAtTheSameAddressRemovesItsPredecessor)
{
    Fleet fleet{13, 2};
    fleet.settle();
    const std::set<Core::InstanceId> gone{fleet.node(4).state.members.self};
    fleet.start(Fleet::addressOf(4), "replacement");
    const auto time = fleet.timeUntil(
        [&] {
            return areDropped(fleet, gone) && minimumAlive(fleet) == 13;
        },
        seconds{10});
    ASSERT_TRUE(time);
    std::cout << "replacement alive at all instances after " << time->count() << " ms\n";
    EXPECT_TRUE(hasQuorum(fleet.node(0).state.members, seconds{4}, fleet.loop.now));
}

TEST(Membership, aliveFingerprintChangesWithAliveMembersAndLinkBandwidth)
{
    const Core::TimePoint now{std::chrono::seconds{100}};
    auto state = makeState({.id = {"self"}, .address = {"self:1"}, .dataCentre = {"here"}}, {}, now);
    const auto alone = aliveFingerprint(state);
    EXPECT_EQ(countAlive(state), aliveMembers(state).size());
    auto &other = state.members[{"other"}];
    other.update.id = {"other"};
    EXPECT_EQ(aliveFingerprint(state), alone) << "not heard yet";
    other.lastHeard = now;
    const auto both = aliveFingerprint(state);
    EXPECT_NE(both, alone);
    EXPECT_EQ(countAlive(state), 2U);
    other.update.linkMegabits = 200;
    EXPECT_NE(aliveFingerprint(state), both);
    other.update.state = MemberState::Gone;
    EXPECT_EQ(aliveFingerprint(state), alone);
    EXPECT_EQ(countAlive(state), aliveMembers(state).size());
}

} // namespace Briarbend::Membership
