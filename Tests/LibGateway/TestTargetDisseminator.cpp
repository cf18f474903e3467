#include <LibGateway/TargetDisseminator.h>
#include <Tests/LibGateway/FakePeers.h>

#include <algorithm>
#include <gtest/gtest.h>

namespace Briarbend::Gateway
{

namespace
{

using namespace std::chrono_literals;

struct FakeInstance {
    FakeInstance(ManualTimers &timers, FakeNetwork &network, const std::string &name, bool isAggregator)
        : transport(network.makeTransport(name))
        , link(timers,
               *this->transport,
               Gossip::makeState({.id = {name}, .address = {name}, .dataCentre = {"a"}, .linkMegabits = 0}, {{"a1"}}, timers.now()),
               this->random)
        , news(timers,
               this->link,
               this->random,
               {.takeOutcomes =
                    [this] {
                        return std::exchange(this->evidence, {});
                    },
                .onSuspect =
                    [this](const Fleet::Suspect &suspect) {
                        this->suspects.insert(suspect.target);
                    },
                .onLeavingTarget =
                    [this](const Fleet::TargetStart &target) {
                        return this->leaving.insert(target).second;
                    },
                .leavingTargets =
                    [this] {
                        return std::vector<Fleet::TargetStart>(this->leaving.begin(), this->leaving.end());
                    },
                .isListedInUse =
                    [this](const Fleet::TargetStart &) {
                        return this->isListedInUse;
                    },
                .aggregators = [name]() -> std::vector<std::string> {
                    return name == "a1" ? std::vector<std::string>{} : std::vector<std::string>{"a1"};
                },
                .digestRecipients = []() -> std::vector<std::string> {
                    return {"a2", "a3", "a4"};
                },
                .isAggregator =
                    [isAggregator] {
                        return isAggregator;
                    }})
    {
    }

    Core::Random random{9};
    std::vector<Fleet::TargetOutcomes> evidence;
    std::set<Fleet::TargetStart> suspects;
    std::set<Fleet::TargetStart> leaving;
    bool isListedInUse{true};
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    TargetDisseminator news;
};

class TargetNewsTest : public testing::Test
{
protected:
    TargetNewsTest()
    {
        for (const auto *name : {"a1", "a2", "a3", "a4"}) {
            this->start(name);
        }
        this->timers.runFor(8s);
    }

    void start(const std::string &name)
    {
        this->instances[name] = std::make_unique<FakeInstance>(this->timers, this->network, name, name == "a1");
    }

    FakeInstance &at(const std::string &name)
    {
        return *this->instances.at(name);
    }

    ManualTimers timers;
    FakeNetwork network;
    std::map<std::string, std::unique_ptr<FakeInstance>> instances;
};

const Fleet::TargetStart TARGET{"one", 1};

} // namespace

TEST_F(TargetNewsTest, whatOneLearnsOfATargetThatLeavesAllKnowSoon)
{
    this->at("a3").news.reportLeaving(TARGET);
    this->timers.runFor(900ms);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_TRUE(name == "a3" || instance->leaving.contains(TARGET)) << name;
    }
}

TEST_F(TargetNewsTest, nobodyIsToldWhatTheListSaysToo)
{
    this->at("a3").isListedInUse = false;
    this->at("a3").news.reportLeaving(TARGET);
    this->timers.runFor(2s);
    EXPECT_TRUE(this->at("a1").leaving.empty());
}

TEST_F(TargetNewsTest, anInstanceThatStartsAsksWhoLeaves)
{
    for (const auto &[name, instance] : this->instances) {
        instance->leaving.insert(TARGET);
    }
    this->start("a5");
    this->timers.runFor(4s);
    EXPECT_TRUE(this->at("a5").leaving.contains(TARGET));
}

TEST_F(TargetNewsTest, aTargetThatFailsTwoInstancesIsSuspectToAll)
{
    this->at("a2").evidence = {{TARGET, {.failed = 1, .answered = 0}}};
    this->timers.runFor(900ms);
    EXPECT_TRUE(this->at("a4").suspects.empty());
    this->at("a3").evidence = {{TARGET, {.failed = 1, .answered = 0}}};
    this->timers.runFor(900ms);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_TRUE(instance->suspects.contains(TARGET)) << name;
    }
}

TEST(TargetDisseminationMessage, comesBackAsItWasEncoded)
{
    const auto report = std::get<TargetReport>(
        decodeTargetNews(encodeTargetNews(TargetReport{.witness = "w", .evidence = {{TARGET, {3, 4}}}, .leaving = {TARGET}})));
    EXPECT_EQ(report.witness, "w");
    EXPECT_EQ(report.evidence.at(0).target, TARGET);
    EXPECT_EQ(report.evidence.at(0).outcomes, (Fleet::OutcomeCounts{3, 4}));
    EXPECT_EQ(report.leaving.at(0), TARGET);
    const auto digest
        = std::get<TargetDigest>(decodeTargetNews(encodeTargetNews(TargetDigest{.suspects = {{TARGET, 0.5}}, .leaving = {TARGET}})));
    EXPECT_EQ(digest.suspects.at(0).failureShare, 0.5);
    EXPECT_EQ(digest.leaving.at(0), TARGET);
    EXPECT_EQ(std::get<LeavingQuestion>(decodeTargetNews(encodeTargetNews(LeavingQuestion{"a"}))).asker, "a");
    for (const auto *hostile : {"", "\x00", "\x81\x09", "\x82\x00\x01"}) {
        EXPECT_ANY_THROW(decodeTargetNews(hostile));
    }
}

} // namespace Briarbend::Gateway
