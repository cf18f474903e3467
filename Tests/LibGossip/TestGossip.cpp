#include "Fleet.h"

#include <deque>
#include <gtest/gtest.h>
#include <numeric>

namespace Briarbend::Gossip
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

SectionText sectionText(std::uint64_t version, std::size_t bytes, bool isRewritten = false)
{
    auto text = std::string(bytes, isRewritten ? static_cast<char>('a' + version % 26) : 'x');
    return {{"pleating"}, version, text + "\nversion = " + std::to_string(version) + "\n" + std::string(bytes / 4, 'y')};
}

std::uint64_t versionAt(const State &state)
{
    const auto found = state.sections.held.find({"pleating"});
    return found == state.sections.held.end() ? 0 : found->second.section.storeVersion;
}

/// The most control bytes that the node sent in any window of three seconds, sampled every 100 ms.
struct WindowMeter {
    std::deque<std::uint64_t> samples;
    std::uint64_t most{0};

    void sample(std::uint64_t total)
    {
        this->samples.push_back(total);
        constexpr std::size_t SAMPLES_IN_WINDOW = 31;
        if (this->samples.size() > SAMPLES_IN_WINDOW) {
            this->samples.pop_front();
        }
        this->most = std::max(this->most, total - this->samples.front());
    }
};

EvidenceRecord evidence(const Core::InstanceId &member, const std::string &version, std::uint64_t sequence)
{
    EvidenceRecord record;
    record.key = {{{"pattern"}, {version}, "/lookup", 1}, Membership::memberHash(member)};
    record.sequence = sequence;
    record.requests = sequence * 100;
    record.latencyCounts.fill(static_cast<std::uint32_t>(sequence * 8));
    return record;
}

} // namespace

TEST(Gossip, bytesStayWithinTheBudgetInEveryWindow)
{
    for (const std::size_t size : {4U, 8U, 16U, 19U, 32U}) {
        for (const bool isBusy : {false, true}) {
            Fleet fleet{size, 20261204};
            fleet.settle();
            constexpr std::uint64_t SECONDS = 60;
            std::map<std::string, WindowMeter> meters;
            const auto before = std::accumulate(fleet.nodes.begin(), fleet.nodes.end(), std::uint64_t{0}, [](auto sum, const auto &item) {
                return sum + item.second.bytesSent + item.second.bytesReceived;
            });
            for (std::uint64_t tenth = 0; tenth < SECONDS * 10; ++tenth) {
                for (auto &[address, node] : fleet.nodes) {
                    if (isBusy && tenth % 10 == 0) {
                        for (const std::string version : {"old", "new"}) {
                            fleet.send(
                                address,
                                publish(node.state, evidence(node.state.members.self, version, tenth + 1), fleet.loop.now, node.random));
                        }
                    }
                    meters[address].sample(node.state.control.takenBytes());
                }
                fleet.run(milliseconds{100});
            }
            const auto after = std::accumulate(fleet.nodes.begin(), fleet.nodes.end(), std::uint64_t{0}, [](auto sum, const auto &item) {
                return sum + item.second.bytesSent + item.second.bytesReceived;
            });
            std::uint64_t most = 0;
            for (const auto &[address, meter] : meters) {
                most = std::max(most, meter.most);
            }
            const auto perSecond = (after - before) / SECONDS / size;
            std::cout << size << " instances, " << (isBusy ? "evidence of two versions each second" : "idle") << ": " << perSecond / 2
                      << " bytes/s sent, most in three seconds " << most << "\n";
            EXPECT_LE(most, 9000U) << size;
            EXPECT_LE(perSecond, isBusy ? 6000U : 3000U) << size;
        }
    }
}

TEST(Gossip, evidencePublishedEachSecondIsMostlyFresh)
{
    constexpr std::uint64_t ROUNDS = 30;
    Fleet fleet{19, 5};
    fleet.settle();
    std::vector<std::uint64_t> lags;
    for (std::uint64_t round = 1; round <= ROUNDS; ++round) {
        for (auto &[address, node] : fleet.nodes) {
            for (const std::string version : {"old", "new"}) {
                fleet.send(address, publish(node.state, evidence(node.state.members.self, version, round), fleet.loop.now, node.random));
            }
        }
        fleet.run(seconds{1});
        for (const auto &[address, node] : fleet.nodes) {
            std::ranges::transform(node.state.evidence.entries, std::back_inserter(lags), [round](const auto &item) {
                return round - item.second.record.sequence;
            });
        }
    }
    EXPECT_TRUE(fleet.all([](const State &state) {
        return state.evidence.entries.size() == std::size_t{2} * 19;
    }));
    std::ranges::sort(lags);
    std::cout << "evidence is older than the newest by " << lags[lags.size() / 2] << " s at half, " << lags[lags.size() * 9 / 10]
              << " s at 9 in 10, " << lags.back() << " s at worst\n";
    EXPECT_LE(lags[lags.size() * 9 / 10], 5U);
}

/// Sizes of the fleet and share of messages lost.
struct SpreadCase {
    std::size_t size;
    double lossShare;
    std::size_t textBytes;
    bool isRewritten;
};

class SectionSpread : public testing::TestWithParam<SpreadCase>
{
};

TEST_P(SectionSpread, isInForceWithinASecondNearlyAlwaysAndFourAtWorst)
{
    const auto &parameters = GetParam();
    // Where an instance lacks a version after 4 s, ten seconds stand for its delay.
    std::vector<milliseconds> delays;
    bool isMonotone = true;
    bool isWhole = true;
    for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
        Fleet fleet{parameters.size, seed};
        fleet.settle();
        fleet.loop.lossShare = parameters.lossShare;
        Core::Random random{seed};
        const std::uint64_t versions = parameters.isRewritten ? 8 : 25;
        for (std::uint64_t version = 1; version <= versions; ++version) {
            auto &origin = *std::next(fleet.nodes.begin(), static_cast<std::ptrdiff_t>(random.below(fleet.nodes.size())));
            std::set<std::string> missing;
            for (auto &[address, node] : fleet.nodes) {
                missing.insert(address);
                node.onChanges = [&, address = address, started = fleet.loop.now, version, held = versionAt(node.state)](
                                     const Changes &changes) mutable {
                    for (const auto &section : changes.sections) {
                        isWhole &= section == sectionText(section.storeVersion, parameters.textBytes, parameters.isRewritten);
                        isMonotone &= section.storeVersion > std::exchange(held, section.storeVersion);
                        if (section.storeVersion == version && missing.erase(address) == 1) {
                            delays.push_back(std::chrono::ceil<milliseconds>(fleet.loop.now - started));
                        }
                    }
                };
            }
            const auto section = sectionText(version, parameters.textBytes, parameters.isRewritten);
            fleet.send(origin.first, publishSection(origin.second.state, section, fleet.loop.now, origin.second.random));
            fleet.run(seconds{4});
            delays.insert(delays.end(), missing.size(), seconds{10});
        }
    }
    EXPECT_TRUE(isMonotone && isWhole);
    std::ranges::sort(delays);
    const auto share = [&](double quantile) {
        return delays[static_cast<std::size_t>(quantile * static_cast<double>(delays.size() - 1))].count();
    };
    std::cout << parameters.size << " instances, " << parameters.lossShare << " lost, " << parameters.textBytes << " bytes"
              << (parameters.isRewritten ? " rewritten" : "") << ": half " << share(0.5) << " ms, 99 in 100 " << share(0.99)
              << " ms, worst " << delays.back().count() << " ms\n";
    EXPECT_LE(share(0.99), 1000);
    EXPECT_LE(delays.back().count(), 4000);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         SectionSpread,
                         testing::Values(SpreadCase{19, 0, 2000, false},
                                         SpreadCase{19, 0.05, 2000, false},
                                         SpreadCase{32, 0, 2000, false},
                                         SpreadCase{32, 0.05, 2000, false},
                                         SpreadCase{32, 0.2, 2000, false},
                                         SpreadCase{32, 0.05, 200'000, true}));

TEST(Gossip, aFrozenInstanceIsNotConfirmedUntilItHoldsTheNewVersion)
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
        EXPECT_FALSE(isConfirmed(resumed.state, fleet.loop.now)) << "a request may arrive before the first tick";
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
        std::cout << "confirmed " << time->count() << " ms after a freeze\n";
        EXPECT_TRUE(fleet.timeUntil(
            [&] {
                return fleet.all([](const State &state) {
                    return Membership::aliveMembers(state.members).size() == 19;
                });
            },
            seconds{5}))
            << "others take the resumed instance back";
    }
}

TEST(Gossip, allInstancesFrozenTogetherConfirmOneAnother)
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

TEST(Gossip, replacingEveryInstanceKeepsSectionsVerdictsAndWarmth)
{
    Fleet fleet{13, 11};
    fleet.settle();
    const RolloutKey rollout{{"pattern"}, {"1"}, {"2"}, Core::WallTime{seconds{5}}};
    auto &first = fleet.node(0);
    const auto firstAddress = Fleet::addressOf(0);
    fleet.send(firstAddress, publishSection(first.state, sectionText(4, 50'000), fleet.loop.now, first.random));
    fleet.send(firstAddress, publish(first.state, VerdictRecord{rollout, RolloutOutcome::TakenBack, 2}, fleet.loop.now, first.random));
    for (int start = 0; start < 200; ++start) {
        fleet.send(firstAddress, publish(first.state, WarmMark{{"start-" + std::to_string(start)}, 1, true}, fleet.loop.now, first.random));
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
        EXPECT_EQ(versionAt(fresh), 4U) << "confirmed only with the section";
        fleet.run(seconds{3});
    }
    EXPECT_TRUE(fleet.all([&](const State &state) {
        const auto *verdict = state.verdicts.find(rollout);
        return versionAt(state) == 4 && verdict != nullptr && verdict->outcome == RolloutOutcome::TakenBack
            && state.warmMarks.entries.size() == 200;
    }));
}

TEST(Gossip, halvesThatWereCutAgreeAfterwards)
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
    EXPECT_FALSE(Membership::hasHeardMajority(inSmall.state.members, seconds{4}, fleet.loop.now));
    EXPECT_TRUE(Membership::hasHeardMajority(inLarge.state.members, seconds{4}, fleet.loop.now));
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
    std::cout << "agreed " << healed->count() << " ms after the cut healed\n";
}

} // namespace Briarbend::Gossip
