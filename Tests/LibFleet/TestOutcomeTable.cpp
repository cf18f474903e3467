#include <LibFleet/Choice.h>
#include <LibFleet/OutcomeTable.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

/// Tests how instances share outcomes of requests, and how failing health checks and successful requests are weighed.
namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

const Core::TimePoint NOW{100s};

TargetRecord record(std::string name, std::int64_t startedAt = 1)
{
    TargetRecord target;
    target.name = std::move(name);
    target.startedAtMilliseconds = startedAt;
    target.dataCentre = {"here"};
    target.slots = 6;
    return target;
}

TargetOutcomes outcomesOf(const std::string &name, std::uint32_t failed, std::uint32_t answered)
{
    return {.target = {name, 1}, .outcomes = {.failed = failed, .answered = answered}};
}

ChoiceInput inputHere(bool isTrialAllowed = false)
{
    ChoiceInput input;
    input.ownDataCentre = {"here"};
    input.isTrialAllowed = isTrialAllowed;
    return input;
}

/// The instances of one data centre of the large deployment, each with a few requests a second, in virtual time.
class DataCentre
{
public:
    static constexpr int INSTANCES = 95;
    static constexpr int TARGETS = 88;
    static constexpr int REQUESTS_PER_SECOND = 215;

    explicit DataCentre(bool isSharing)
        : shares(isSharing)
    {
        std::vector<TargetRecord> records(TARGETS);
        std::ranges::generate(records, [index = 0]() mutable {
            return record(std::to_string(index++));
        });
        for (auto &service : this->services) {
            updateTargets(service, records, this->now);
        }
    }

    /// Simulates requests for `length`. The first `faultyTargets` targets pass health checks, and requests to them end with
    /// `faultyOutcome`. Returns the share of requests sent to them.
    double simulate(Core::Duration length, int faultyTargets, SendOutcome faultyOutcome = SendOutcome::Failure)
    {
        const auto requests = static_cast<int>(length / 1s * REQUESTS_PER_SECOND);
        int sentToFaulty = 0;
        for (int request = 0; request < requests; ++request) {
            this->now += std::chrono::duration_cast<Core::Duration>(1s) / REQUESTS_PER_SECOND;
            auto &service = this->services[this->random.below(INSTANCES)];
            auto &target = *findTarget(service, this->choose(service, faultyTargets));
            const bool isFaulty = std::stoi(target.record.name) < faultyTargets;
            sentToFaulty += isFaulty ? 1 : 0;
            recordOutcome(target, isFaulty ? faultyOutcome : SendOutcome::Success, this->now);
            if (this->shares && this->now >= this->nextExchangeAt) {
                this->nextExchangeAt = this->now + 400ms;
                this->share();
            }
        }
        return static_cast<double>(sentToFaulty) / requests;
    }

private:
    std::string choose(ServiceState &service, int faultyTargets)
    {
        const auto names = candidates(service, inputHere(), this->now, this->random);
        for (std::size_t index = 0; index < PARALLEL_PROBES; ++index) {
            auto &target = *findTarget(service, names[index]);
            // A target that fails at once is idle, and therefore looks preferable.
            const bool isFaulty = std::stoi(target.record.name) < faultyTargets;
            const auto running = isFaulty ? 0U : static_cast<std::uint32_t>(this->random.below(6));
            recordLoadReport(service, target, {.running = running, .waiting = 0, .slots = 6, .slowness = 1}, this->now);
        }
        return *std::min_element(names.begin(), names.begin() + PARALLEL_PROBES, [&](const auto &one, const auto &other) {
            return this->cost(service, one) < this->cost(service, other);
        });
    }

    std::chrono::microseconds cost(ServiceState &service, const std::string &name)
    {
        return sendCost(service, *findTarget(service, name), {.workMilliseconds = 470, .answerBytes = 5000}, inputHere(), this->now);
    }

    void share()
    {
        for (std::size_t instance = 0; instance < this->services.size(); ++instance) {
            addOutcomes(this->table, std::to_string(instance), takeOutcomes(this->services[instance]), this->now);
        }
        for (const auto &suspect : findSuspects(this->table, this->now)) {
            for (auto &service : this->services) {
                applySuspect(service, suspect, this->now);
            }
        }
    }

    bool shares;
    Core::TimePoint now{NOW};
    Core::TimePoint nextExchangeAt{NOW};
    Core::Random random{5};
    std::array<ServiceState, INSTANCES> services;
    OutcomeTable table;
};

} // namespace

// A tenth of the targets pass health checks and fail every request. One instance sends to each of them only once in many seconds, so that
// without shared outcomes it keeps sending to them.
TEST(OutcomeTable, sharedOutcomesKeepRequestsFromFailingTargetsThatPassHealthChecks)
{
    DataCentre isolated(false);
    isolated.simulate(2s, 9);
    DataCentre sharing(true);
    sharing.simulate(2s, 9);
    EXPECT_GT(isolated.simulate(4s, 9), 0.1) << "without shared outcomes the instances keep sending to failing targets";
    EXPECT_LT(sharing.simulate(4s, 9), 0.02) << "a fifth of the tenth that a uniform choice sends there";
}

// The targets pass health checks but never answer; each request to them is answered by its hedge.
TEST(OutcomeTable, hangingTargetsOvertakenByHedgesAreAvoided)
{
    DataCentre sharing(true);
    sharing.simulate(2s, 9, SendOutcome::Overtaken);
    EXPECT_LT(sharing.simulate(4s, 9, SendOutcome::Overtaken), 0.02);
}

TEST(OutcomeTable, occasionallySlowTargetIsNotSuspect)
{
    OutcomeTable table;
    for (const auto *reporter : {"a", "b", "c"}) {
        addOutcomes(table, reporter, {outcomesOf("one", 1, 5)}, NOW);
    }
    EXPECT_TRUE(findSuspects(table, NOW).empty()) << "one in six is overtaken";
}

TEST(OutcomeTable, peerFailureShareDecays)
{
    ServiceState service;
    updateTargets(service, {record("one")}, NOW);
    applySuspect(service, {{"one", 1}, 1}, NOW);
    EXPECT_GT(failureShare(service.targets.front(), NOW + 1s), 0.5);
    EXPECT_LT(failureShare(service.targets.front(), NOW + 12s), 0.02);
}

TEST(OutcomeTable, failuresSeenByOneInstanceMakeNoSuspect)
{
    OutcomeTable table;
    addOutcomes(table, "a", {outcomesOf("one", 50, 0)}, NOW);
    EXPECT_TRUE(findSuspects(table, NOW).empty()) << "its own link may be at fault";
    addOutcomes(table, "b", {outcomesOf("one", 1, 0)}, NOW);
    const auto suspects = findSuspects(table, NOW);
    ASSERT_EQ(suspects.size(), 1U);
    EXPECT_EQ(suspects.front().target.name, "one");
    EXPECT_GT(suspects.front().failureShare, 0.9);
}

TEST(OutcomeTable, targetThatAnswersMostRequestsIsNotSuspect)
{
    OutcomeTable table;
    addOutcomes(table, "a", {outcomesOf("one", 2, 20)}, NOW);
    addOutcomes(table, "b", {outcomesOf("one", 2, 20)}, NOW);
    EXPECT_TRUE(findSuspects(table, NOW).empty());
}

// Under overload hedges occasionally overtake requests at nearly every target, so that many targets are suspect.
TEST(OutcomeTable, onlyTheWorstSuspectsAreReturned)
{
    OutcomeTable table;
    for (int index = 0; index < 200; ++index) {
        const auto failed = static_cast<std::uint32_t>(index < 10 ? 20 : 8);
        for (const auto *reporter : {"a", "b"}) {
            addOutcomes(table, reporter, {outcomesOf(std::to_string(index), failed, 10)}, NOW);
        }
    }
    const auto suspects = findSuspects(table, NOW);
    EXPECT_EQ(suspects.size(), 48U);
    EXPECT_EQ(std::ranges::count_if(suspects,
                                    [](const Suspect &suspect) {
                                        return suspect.failureShare > 0.6;
                                    }),
              10);
}

TEST(OutcomeTable, outcomesDecayAndAreRemoved)
{
    OutcomeTable table;
    addOutcomes(table, "a", {outcomesOf("one", 3, 0)}, NOW);
    addOutcomes(table, "b", {outcomesOf("one", 3, 0)}, NOW);
    EXPECT_FALSE(findSuspects(table, NOW + 1s).empty());
    EXPECT_TRUE(findSuspects(table, NOW + FAILURE_DECAY_TIME + 1ms).empty()) << "no instance has seen a failure since";
    findSuspects(table, NOW + 30s);
    EXPECT_TRUE(table.entries.empty());
}

TEST(OutcomeTable, outcomesBelongToOneStartAndAreTakenOnce)
{
    ServiceState service;
    updateTargets(service, {record("one"), record("two")}, NOW);
    recordOutcome(*findTarget(service, "one"), SendOutcome::Lost, NOW);
    recordOutcome(*findTarget(service, "two"), SendOutcome::Success, NOW);
    const auto taken = takeOutcomes(service);
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_EQ(taken.front().outcomes, (OutcomeCounts{.failed = 1, .answered = 0}));
    EXPECT_EQ(taken.back().outcomes, (OutcomeCounts{.failed = 0, .answered = 1}));
    EXPECT_TRUE(takeOutcomes(service).empty());
    applySuspect(service, {{"two", 2}, 1}, NOW);
    EXPECT_EQ(failureShare(*findTarget(service, "two"), NOW), 0) << "another start";
    applySuspect(service, {{"two", 1}, 0.5}, NOW);
}

TEST(OutcomeTable, targetThatFailsHealthChecksIsTriedWithOneRequestAtATime)
{
    ServiceState service;
    updateTargets(service, {record("one")}, NOW);
    auto &target = service.targets.front();
    recordHealth(target, false, NOW);
    EXPECT_EQ(usability(target, inputHere(true), NOW), Usability::LastResort) << "not at once";
    const auto trial = NOW + 600ms;
    EXPECT_EQ(usability(target, inputHere(true), trial), Usability::Usable);
    EXPECT_EQ(usability(target, inputHere(false), trial), Usability::LastResort) << "no request that may run only once";
    recordSent(target, trial);
    EXPECT_EQ(usability(target, inputHere(true), trial), Usability::LastResort) << "one at a time";
    recordOutcome(target, SendOutcome::Success, trial + 200ms);
    recordHealth(target, false, trial + 300ms);
    EXPECT_EQ(usability(target, inputHere(false), trial + 300ms), Usability::Usable) << "a successful request outweighs the health check";
    recordOutcome(target, SendOutcome::Failure, trial + 400ms);
    EXPECT_EQ(usability(target, inputHere(false), trial + 400ms), Usability::LastResort) << "a failed request revokes the proof";
}

// A target that fails health checks and requests is tried with growing pauses.
RC_GTEST_PROP(OutcomeTable, unhealthyTargetReceivesFewTrials, ())
{
    const auto seconds = *rc::gen::inRange(1, 60);
    ServiceState service;
    updateTargets(service, {record("one")}, NOW);
    auto &target = service.targets.front();
    int trials = 0;
    for (auto now = NOW; now < NOW + std::chrono::seconds(seconds); now += 50ms) {
        recordHealth(target, false, now);
        if (usability(target, inputHere(true), now) == Usability::Usable) {
            recordSent(target, now);
            recordOutcome(target, SendOutcome::Failure, now);
            ++trials;
        }
    }
    RC_ASSERT(trials <= 5 + seconds / 8);
}

} // namespace Briarbend::Fleet
