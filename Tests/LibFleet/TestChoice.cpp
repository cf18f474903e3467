#include <LibFleet/Choice.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace Briarbend::Fleet
{

namespace
{

using namespace std::chrono_literals;

const Core::TimePoint NOW{100s};

TargetRecord record(std::string name, std::string dataCentre = "here", std::string version = "v1")
{
    TargetRecord target;
    target.name = std::move(name);
    target.dataCentre = {std::move(dataCentre)};
    target.version = {std::move(version)};
    target.slots = 6;
    return target;
}

ChoiceInput inputHere()
{
    ChoiceInput input;
    input.ownDataCentre = {"here"};
    input.distance = 2ms;
    input.transferCostPerKibibyte = 6ms;
    return input;
}

std::vector<std::string> sorted(std::vector<std::string> names)
{
    std::ranges::sort(names);
    return names;
}

/// Twenty targets here and twenty in another data centre.
std::vector<TargetRecord> nearAndFar()
{
    std::vector<TargetRecord> records;
    for (int index = 0; index < 20; ++index) {
        records.push_back(record("near-" + std::to_string(index)));
        records.push_back(record("far-" + std::to_string(index), "there"));
    }
    return records;
}

void state(ServiceState &book, const std::string &name, LoadReport load)
{
    recordLoadReport(book, *findTarget(book, name), load, NOW);
}

} // namespace

TEST(Choice, targetsOfTheOwnDataCentreComeFirst)
{
    ServiceState book;
    updateTargets(book, {record("far-1", "there"), record("near-1"), record("far-2", "there"), record("near-2")}, NOW, 0);
    Core::Random random{3};
    const auto names = candidates(book, inputHere(), NOW, random);
    ASSERT_EQ(names.size(), 4U);
    EXPECT_EQ(sorted({names[0], names[1]}), (std::vector<std::string>{"near-1", "near-2"}));
}

TEST(Choice, theBusierTheOwnDataCentreTheMoreOfOthersComeFirst)
{
    constexpr int DRAWS = 400;
    Core::Random random{3};
    const auto farAmongFirst = [&random](std::uint32_t running) {
        ServiceState book;
        updateTargets(book, nearAndFar(), NOW, 0);
        for (int index = 0; index < 20; ++index) {
            state(book, "near-" + std::to_string(index), {.running = running, .waiting = 0, .slots = 6, .slowness = 1});
        }
        std::ptrdiff_t far = 0;
        for (int draw = 0; draw < DRAWS; ++draw) {
            const auto names = candidates(book, inputHere(), NOW, random);
            far += std::count_if(names.begin(), names.begin() + 3, [](const std::string &name) {
                return name.starts_with("far");
            });
        }
        return far;
    };
    EXPECT_EQ(farAmongFirst(1), 0);
    const auto busy = farAmongFirst(3);
    const auto full = farAmongFirst(6);
    EXPECT_GT(busy, 0);
    EXPECT_GT(full, busy);
    EXPECT_LT(full, 3 * DRAWS) << "the own data centre is still asked";
}

TEST(Choice, whereTheFirstAreNoGoodOthersFollowSoon)
{
    ServiceState book;
    const auto records = nearAndFar();
    updateTargets(book, records, NOW, 0);
    Core::Random random{3};
    const auto names = candidates(book, inputHere(), NOW, random);
    ASSERT_EQ(names.size(), records.size());
    EXPECT_EQ(std::set<std::string>(names.begin(), names.end()).size(), records.size()) << "each target once";
    EXPECT_GE(std::count_if(names.begin() + 3,
                            names.begin() + 9,
                            [](const std::string &name) {
                                return name.starts_with("far");
                            }),
              3);
}

TEST(Choice, targetsWithAKeptConnectionComeBeforeMostOthers)
{
    constexpr int DRAWS = 400;
    ServiceState book;
    std::vector<TargetRecord> records(30);
    std::ranges::generate(records, [index = 0]() mutable {
        return record(std::to_string(index++));
    });
    updateTargets(book, records, NOW, 0);
    for (int index = 0; index < 10; ++index) {
        findTarget(book, std::to_string(index))->connectedUntil = NOW + 1s;
        findTarget(book, std::to_string(index))->idleConnections = 1;
    }
    Core::Random random{3};
    int connected = 0;
    for (int draw = 0; draw < DRAWS; ++draw) {
        const auto *first = findTarget(book, candidates(book, inputHere(), NOW, random).front());
        connected += first->connectedUntil > NOW ? 1 : 0;
    }
    EXPECT_GT(connected, DRAWS / 2);
    EXPECT_LT(connected, DRAWS) << "further targets are still found";
}

TEST(Choice, leavingColdExcludedAndTakenOutTargetsAreNoCandidates)
{
    ServiceState book;
    auto leaving = record("leaving");
    leaving.isLeaving = true;
    auto cold = record("cold");
    cold.coldLeft = 1s;
    updateTargets(book, {leaving, cold, record("tried"), record("out", "there"), record("good")}, NOW, 0);
    auto input = inputHere();
    input.excluded = {"tried"};
    input.dataCentresOut = {{"there"}};
    Core::Random random{3};
    EXPECT_EQ(candidates(book, input, NOW, random), (std::vector<std::string>{"good"}));
    EXPECT_EQ(usability(*findTarget(book, "cold"), input, NOW), Usability::Cold);
    EXPECT_EQ(usability(*findTarget(book, "cold"), input, NOW + 1s), Usability::Usable);
}

TEST(Choice, aVersionIsChosenAloneOrLeftOutAlone)
{
    ServiceState book;
    updateTargets(book, {record("old"), record("new-1", "here", "v2"), record("new-2", "here", "v2")}, NOW, 0);
    auto input = inputHere();
    input.version = {"v2"};
    Core::Random random{3};
    EXPECT_EQ(sorted(candidates(book, input, NOW, random)), (std::vector<std::string>{"new-1", "new-2"}));
    input.sampled = {"new-2"};
    EXPECT_EQ(candidates(book, input, NOW, random), (std::vector<std::string>{"new-2"}));
    input.sampled.clear();
    input.isVersionExcluded = true;
    EXPECT_EQ(candidates(book, input, NOW, random), (std::vector<std::string>{"old"}));
}

TEST(Choice, aSlowHostAFullTargetAndAFailingOneCostMore)
{
    ServiceState book;
    updateTargets(book, {record("idle"), record("slow"), record("full"), record("failing"), record("far", "there")}, NOW, 0);
    for (const auto &name : {"idle", "failing", "far"}) {
        state(book, name, {.running = 0, .waiting = 0, .slots = 6, .slowness = 1});
    }
    state(book, "slow", {.running = 0, .waiting = 0, .slots = 6, .slowness = 5});
    state(book, "full", {.running = 6, .waiting = 2, .slots = 6, .slowness = 1});
    recordOutcome(*findTarget(book, "failing"), SendOutcome::Failure, NOW);
    const RouteStatistics route{.workMilliseconds = 220, .answerBytes = 5 * 1024};
    const auto cost = [&](const std::string &name) {
        return sendCost(book, *findTarget(book, name), route, inputHere(), NOW);
    };
    for (const auto &name : {"slow", "full", "failing", "far"}) {
        EXPECT_LT(cost("idle"), cost(name)) << name;
    }
    EXPECT_LT(cost("far"), cost("full")) << "a crossing pays where the own data centre is full";
    EXPECT_EQ(freeSlots(*findTarget(book, "full")), 0U);
    EXPECT_FALSE(isFull(*findTarget(book, "full")));
    state(book, "full", {.running = 6, .waiting = 6, .slots = 6, .slowness = 1});
    EXPECT_TRUE(isFull(*findTarget(book, "full")));
}

TEST(Choice, ownRequestsSinceAStatementCountBesideIt)
{
    ServiceState book;
    updateTargets(book, {record("one")}, NOW, 0);
    auto &target = *findTarget(book, "one");
    target.ownInFlight = 1;
    recordLoadReport(book, target, {.running = 5, .waiting = 0, .slots = 6, .slowness = 1}, NOW);
    EXPECT_EQ(freeSlots(target), 1U);
    ++target.ownInFlight;
    EXPECT_EQ(freeSlots(target), 0U);
}

TEST(Choice, whoLeavesOrAskedForQuietIsNeverACandidate)
{
    ServiceState book;
    updateTargets(book, {record("good"), record("leaving"), record("quiet")}, NOW, 0);
    findTarget(book, "leaving")->isLeaving = true;
    findTarget(book, "quiet")->quietUntil = NOW + 2s;
    Core::Random random{3};
    EXPECT_EQ(candidates(book, inputHere(), NOW, random), (std::vector<std::string>{"good"}));
    EXPECT_EQ(timeUntilFirstAcceptsRequests(book, inputHere(), NOW), std::nullopt);
    updateTargets(book, {record("leaving"), record("quiet")}, NOW, 0);
    EXPECT_TRUE(candidates(book, inputHere(), NOW, random).empty());
    EXPECT_EQ(timeUntilFirstAcceptsRequests(book, inputHere(), NOW), 2s);
    EXPECT_EQ(candidates(book, inputHere(), NOW + 2s, random), (std::vector<std::string>{"quiet"}));
}

} // namespace Briarbend::Fleet
