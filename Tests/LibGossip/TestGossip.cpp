#include "SampleSection.h"

#include <gtest/gtest.h>

namespace Briarbend::Gossip
{

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Gossip, resumedInstanceIsUnconfirmedUntilItHoldsTheNewVersion)
{
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        Fleet fleet{19, seed};
        fleet.settle();
        const auto address = Fleet::addressOf(7);
        fleet.loop.frozen.insert(address);
        auto &origin = fleet.node(3);
        fleet.run(milliseconds{1500});
        fleet.send(Fleet::addressOf(3), publishSection(origin.state, sectionText(9, 5000), fleet.loop.now, origin.random));
        fleet.run(seconds{4});
        auto &resumed = fleet.node(7);
        EXPECT_FALSE(isConfirmed(resumed.state, fleet.loop.now)) << "a request may arrive after the freeze and before the first tick";
        fleet.loop.release(address);
        bool wasEarly = false;
        const auto time = fleet.timeUntil(
            [&] {
                wasEarly |= isConfirmed(resumed.state, fleet.loop.now) && versionAt(resumed.state) != 9;
                return isConfirmed(resumed.state, fleet.loop.now);
            },
            seconds{4});
        EXPECT_FALSE(wasEarly);
        ASSERT_TRUE(time) << seed;
        std::cout << "confirmed " << time->count() << " ms after the instance resumed\n";
        EXPECT_TRUE(fleet.timeUntil(
            [&] {
                return fleet.all([](const State &state) {
                    return Membership::aliveMembers(state.members).size() == 19;
                });
            },
            seconds{5}))
            << "other instances see the resumed instance as alive again";
    }
}

TEST(Gossip, instancesFrozenTogetherConfirmOneAnotherAfterResuming)
{
    Fleet fleet{13, 3};
    fleet.settle();
    for (const auto &[address, node] : fleet.nodes) {
        fleet.loop.frozen.insert(address);
    }
    fleet.run(seconds{10});
    for (const auto &[address, node] : fleet.nodes) {
        fleet.loop.release(address);
    }
    EXPECT_TRUE(fleet.timeUntil(
        [&] {
            return fleet.all([&](const State &state) {
                return isConfirmed(state, fleet.loop.now);
            });
        },
        seconds{4}));
}

TEST(Gossip, rollingReplacementOfAllInstancesKeepsSectionsRolloutProgressAndWarmUpStates)
{
    Fleet fleet{13, 11};
    fleet.settle();
    const RolloutKey rollout{{"pattern"}, {"1"}, {"2"}, Core::WallTime{seconds{5}}};
    auto &first = fleet.node(0);
    const auto firstAddress = Fleet::addressOf(0);
    fleet.send(firstAddress, publishSection(first.state, sectionText(4, 50'000), fleet.loop.now, first.random));
    fleet.send(firstAddress,
               publish(first.state, RolloutProgressRecord{rollout, RolloutPhase::RolledBack, 2}, fleet.loop.now, first.random));
    for (int start = 0; start < 200; ++start) {
        fleet.send(firstAddress,
                   publish(first.state, WarmUpStateRecord{{"start-" + std::to_string(start)}, 1, true}, fleet.loop.now, first.random));
    }
    fleet.run(seconds{20});
    for (std::size_t index = 0; index < 13; ++index) {
        const auto address = Fleet::addressOf(index);
        if (index % 2 == 0) {
            fleet.send(address, leave(fleet.node(index).state, fleet.loop.now));
        }
        fleet.nodes.erase(address);
        fleet.run(seconds{2});
        fleet.start(address, "replacement-" + std::to_string(index));
        const auto &fresh = fleet.node(index).state;
        EXPECT_TRUE(fleet.timeUntil(
            [&] {
                return isConfirmed(fresh, fleet.loop.now);
            },
            seconds{4}))
            << index;
        EXPECT_EQ(versionAt(fresh), 4U) << "an instance must not be confirmed without the section";
        fleet.run(seconds{3});
    }
    EXPECT_TRUE(fleet.all([&](const State &state) {
        const auto *progress = state.rolloutProgress.find(rollout);
        return versionAt(state) == 4 && progress != nullptr && progress->phase == RolloutPhase::RolledBack
            && state.warmUpStates.entries.size() == 200;
    }));
}

TEST(Gossip, partitionedInstancesConvergeAfterThePartitionHeals)
{
    Fleet fleet{19, 13};
    fleet.settle();
    const std::set<std::string> small{Fleet::addressOf(1), Fleet::addressOf(5), Fleet::addressOf(9), Fleet::addressOf(17)};
    fleet.loop.isCut = [&](const std::string &from, const std::string &to) {
        return small.contains(from) != small.contains(to);
    };
    fleet.run(seconds{120});
    auto &inSmall = fleet.node(5);
    auto &inLarge = fleet.node(3);
    EXPECT_FALSE(Membership::hasQuorum(inSmall.state.members, seconds{4}, fleet.loop.now));
    EXPECT_TRUE(Membership::hasQuorum(inLarge.state.members, seconds{4}, fleet.loop.now));
    fleet.send(Fleet::addressOf(5), publishSection(inSmall.state, sectionText(2, 1000), fleet.loop.now, inSmall.random));
    fleet.send(Fleet::addressOf(3), publishSection(inLarge.state, {{"dispatch"}, 7, "routes"}, fleet.loop.now, inLarge.random));
    fleet.run(seconds{4});
    fleet.loop.isCut = [](const std::string &, const std::string &) {
        return false;
    };
    const auto healed = fleet.timeUntil(
        [&] {
            return fleet.all([](const State &state) {
                return state.sections.held.size() == 2 && Membership::aliveMembers(state.members).size() == 19;
            });
        },
        seconds{30});
    ASSERT_TRUE(healed);
    std::cout << "converged " << healed->count() << " ms after the partition healed\n";
}

} // namespace Briarbend::Gossip
