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
        , disseminator(timers,
                       this->link,
                       this->random,
                       {.takeOutcomes =
                            [this] {
                                return std::exchange(this->targetOutcomes, {});
                            },
                        .onSuspect =
                            [this](const Fleet::Suspect &suspect) {
                                this->suspects.insert(suspect.target);
                            },
                        .onLeavingTarget =
                            [this](const Fleet::TargetStart &target) {
                                return this->leaving.insert(target).second;
                            },
                        .onRate =
                            [this](const TargetRate &rate) {
                                this->rates[rate.target] = rate.requestsPerSecond;
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
    std::vector<Fleet::TargetOutcomes> targetOutcomes;
    std::set<Fleet::TargetStart> suspects;
    std::set<Fleet::TargetStart> leaving;
    std::map<Fleet::TargetStart, std::optional<double>> rates;
    bool isListedInUse{true};
    std::unique_ptr<Peers::Transport> transport;
    Coordination::PeerLink link;
    TargetDisseminator disseminator;
};

class TargetDisseminatorTest : public testing::Test
{
protected:
    TargetDisseminatorTest()
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

TEST_F(TargetDisseminatorTest, leavingTargetBecomesKnownToAllInstances)
{
    this->at("a3").disseminator.reportLeaving(TARGET);
    this->timers.runFor(900ms);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_TRUE(name == "a3" || instance->leaving.contains(TARGET)) << name;
    }
}

TEST_F(TargetDisseminatorTest, leavingTargetAlreadyInListIsNotReported)
{
    this->at("a3").isListedInUse = false;
    this->at("a3").disseminator.reportLeaving(TARGET);
    this->timers.runFor(2s);
    EXPECT_TRUE(this->at("a1").leaving.empty());
}

TEST_F(TargetDisseminatorTest, startedInstanceRequestsLeavingTargets)
{
    for (const auto &[name, instance] : this->instances) {
        instance->leaving.insert(TARGET);
    }
    this->start("a5");
    this->timers.runFor(4s);
    EXPECT_TRUE(this->at("a5").leaving.contains(TARGET));
}

TEST_F(TargetDisseminatorTest, targetFailingForTwoInstancesIsSuspectToAll)
{
    this->at("a2").targetOutcomes = {{TARGET, {.failed = 1, .answered = 0}}};
    this->timers.runFor(900ms);
    EXPECT_TRUE(this->at("a4").suspects.empty());
    this->at("a3").targetOutcomes = {{TARGET, {.failed = 1, .answered = 0}}};
    this->timers.runFor(900ms);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_TRUE(instance->suspects.contains(TARGET)) << name;
    }
}

TEST_F(TargetDisseminatorTest, statedRateAndItsEndBecomeKnownToAllInstances)
{
    this->at("a3").disseminator.reportRate({TARGET, 2.5});
    this->timers.runFor(900ms);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_EQ(instance->rates.at(TARGET), 2.5) << name;
    }
    this->at("a2").disseminator.reportRate({TARGET, 1.5});
    this->at("a2").disseminator.reportRate({TARGET, std::nullopt});
    this->timers.runFor(900ms);
    for (const auto &[name, instance] : this->instances) {
        EXPECT_EQ(instance->rates.at(TARGET), std::nullopt) << name;
    }
}

TEST(TargetDisseminationMessage, roundTripsAndRejectsMalformedMessages)
{
    const auto report = std::get<TargetReport>(decodeTargetDissemination(encodeTargetDissemination(
        TargetReport{.reporter = "w", .targetOutcomes = {{TARGET, {3, 4}}}, .leaving = {TARGET}, .rates = {{TARGET, 2.5}}})));
    EXPECT_EQ(report.rates.at(0).requestsPerSecond, 2.5);
    EXPECT_EQ(report.reporter, "w");
    EXPECT_EQ(report.targetOutcomes.at(0).target, TARGET);
    EXPECT_EQ(report.targetOutcomes.at(0).outcomes, (Fleet::OutcomeCounts{3, 4}));
    EXPECT_EQ(report.leaving.at(0), TARGET);
    const auto digest = std::get<TargetDigest>(decodeTargetDissemination(
        encodeTargetDissemination(TargetDigest{.suspects = {{TARGET, 0.5}}, .leaving = {TARGET}, .rates = {{TARGET, std::nullopt}}})));
    EXPECT_FALSE(digest.rates.at(0).requestsPerSecond.has_value());
    EXPECT_EQ(digest.suspects.at(0).failureShare, 0.5);
    EXPECT_EQ(digest.leaving.at(0), TARGET);
    EXPECT_EQ(std::get<LeavingTargetsRequest>(decodeTargetDissemination(encodeTargetDissemination(LeavingTargetsRequest{"a"}))).requester,
              "a");
    for (const auto *hostile : {"", "\x00", "\x81\x09", "\x82\x00\x01"}) {
        EXPECT_ANY_THROW(decodeTargetDissemination(hostile));
    }
}

} // namespace Briarbend::Gateway
