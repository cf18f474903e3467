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

/// Twenty targets in the own and twenty in another data centre.
std::vector<TargetRecord> nearAndFar()
{
    std::vector<TargetRecord> records;
    for (int index = 0; index < 20; ++index) {
        records.push_back(record("near-" + std::to_string(index)));
        records.push_back(record("far-" + std::to_string(index), "there"));
    }
    return records;
}

void reportLoad(ServiceState &service, const std::string &name, LoadReport load)
{
    recordLoadReport(service, *findTarget(service, name), load, NOW);
}

} // namespace

TEST(Choice, targetsOfTheOwnDataCentreComeFirst)
{
    ServiceState service;
    updateTargets(service, {record("far-1", "there"), record("near-1"), record("far-2", "there"), record("near-2")}, NOW);
    Core::Random random{3};
    const auto names = candidates(service, inputHere(), NOW, random);
    ASSERT_EQ(names.size(), 4U);
    EXPECT_EQ(sorted({names[0], names[1]}), (std::vector<std::string>{"near-1", "near-2"}));
}

TEST(Choice, shareOfOtherDataCentresGrowsWithOwnOccupancy)
{
    constexpr int DRAWS = 400;
    Core::Random random{3};
    const auto farAmongFirst = [&random](std::uint32_t running) {
        ServiceState service;
        updateTargets(service, nearAndFar(), NOW);
        for (int index = 0; index < 20; ++index) {
            reportLoad(service, "near-" + std::to_string(index), {.running = running, .waiting = 0, .slots = 6, .slowness = 1});
        }
        std::ptrdiff_t far = 0;
        for (int draw = 0; draw < DRAWS; ++draw) {
            const auto names = candidates(service, inputHere(), NOW, random);
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

// Guards against probes and answers that cross data centres although the own one, equally busy as the others, has room.
TEST(Choice, busyOwnDataCentreIsProbedFirstWhereARequestCanWaitForASecondBatch)
{
    ServiceState service;
    updateTargets(service, nearAndFar(), NOW);
    for (auto &target : service.targets) {
        recordLoadReport(service, target, {.running = 6, .waiting = 0, .slots = 6, .slowness = 1}, NOW);
    }
    auto input = inputHere();
    input.isOwnDataCentreFirst = true;
    Core::Random random{3};
    const auto names = candidates(service, input, NOW, random);
    const auto isFar = [](const std::string &name) {
        return name.starts_with("far");
    };
    EXPECT_EQ(std::count_if(names.begin(), names.begin() + PARALLEL_PROBES, isFar), 0);
    EXPECT_GE(std::count_if(names.begin() + PARALLEL_PROBES, names.begin() + 3 * PARALLEL_PROBES, isFar), 2)
        << "the overflow still reaches other data centres";
}

TEST(Choice, targetsOfOtherDataCentresFollowTheFirstCandidates)
{
    ServiceState service;
    const auto records = nearAndFar();
    updateTargets(service, records, NOW);
    Core::Random random{3};
    const auto names = candidates(service, inputHere(), NOW, random);
    ASSERT_EQ(names.size(), records.size());
    EXPECT_EQ(std::set<std::string>(names.begin(), names.end()).size(), records.size()) << "each target once";
    EXPECT_GE(std::count_if(names.begin() + 3,
                            names.begin() + 9,
                            [](const std::string &name) {
                                return name.starts_with("far");
                            }),
              3);
}

TEST(Choice, targetsWithAnIdleConnectionArePreferredToMostOthers)
{
    constexpr int DRAWS = 400;
    ServiceState service;
    std::vector<TargetRecord> records(30);
    std::ranges::generate(records, [index = 0]() mutable {
        return record(std::to_string(index++));
    });
    updateTargets(service, records, NOW);
    for (int index = 0; index < 10; ++index) {
        findTarget(service, std::to_string(index))->connectedUntil = NOW + 1s;
        findTarget(service, std::to_string(index))->idleConnections = 1;
    }
    Core::Random random{3};
    int connected = 0;
    for (int draw = 0; draw < DRAWS; ++draw) {
        const auto *first = findTarget(service, candidates(service, inputHere(), NOW, random).front());
        connected += first->connectedUntil > NOW ? 1 : 0;
    }
    EXPECT_GT(connected, DRAWS / 2);
    EXPECT_LT(connected, DRAWS) << "further targets are still found";
}

TEST(Choice, leavingColdExcludedAndDrainedTargetsAreNoCandidates)
{
    ServiceState service;
    auto leaving = record("leaving");
    leaving.isLeaving = true;
    auto cold = record("cold");
    cold.coldLeft = 1s;
    updateTargets(service, {leaving, cold, record("tried"), record("out", "there"), record("good")}, NOW);
    auto input = inputHere();
    input.excluded = {"tried"};
    input.dataCentresOut = {{"there"}};
    Core::Random random{3};
    EXPECT_EQ(candidates(service, input, NOW, random), (std::vector<std::string>{"good"}));
    EXPECT_EQ(usability(*findTarget(service, "cold"), input, NOW), Usability::Cold);
    EXPECT_EQ(usability(*findTarget(service, "cold"), input, NOW + 1s), Usability::Usable);
}

TEST(Choice, candidatesAreRestrictedToAVersionOrExcludeIt)
{
    ServiceState service;
    updateTargets(service, {record("old"), record("new-1", "here", "v2"), record("new-2", "here", "v2")}, NOW);
    auto input = inputHere();
    input.version = {"v2"};
    Core::Random random{3};
    EXPECT_EQ(sorted(candidates(service, input, NOW, random)), (std::vector<std::string>{"new-1", "new-2"}));
    input.sampled = {"new-2"};
    EXPECT_EQ(candidates(service, input, NOW, random), (std::vector<std::string>{"new-2"}));
    input.sampled.clear();
    input.isVersionExcluded = true;
    EXPECT_EQ(candidates(service, input, NOW, random), (std::vector<std::string>{"old"}));
}

TEST(Choice, sendCostIsHigherForSlowFullFailingAndFarTargets)
{
    ServiceState service;
    updateTargets(service, {record("idle"), record("slow"), record("full"), record("failing"), record("far", "there")}, NOW);
    for (const auto &name : {"idle", "failing", "far"}) {
        reportLoad(service, name, {.running = 0, .waiting = 0, .slots = 6, .slowness = 1});
    }
    reportLoad(service, "slow", {.running = 0, .waiting = 0, .slots = 6, .slowness = 5});
    reportLoad(service, "full", {.running = 6, .waiting = 2, .slots = 6, .slowness = 1});
    recordOutcome(*findTarget(service, "failing"), SendOutcome::Failure, NOW);
    const RouteStatistics route{.workMilliseconds = 220, .answerBytes = 5 * 1024};
    const auto cost = [&](const std::string &name) {
        return sendCost(service, *findTarget(service, name), route, inputHere(), NOW);
    };
    for (const auto &name : {"slow", "full", "failing", "far"}) {
        EXPECT_LT(cost("idle"), cost(name)) << name;
    }
    EXPECT_LT(cost("far"), cost("full")) << "a crossing pays where the own data centre is full";
    EXPECT_EQ(freeSlots(*findTarget(service, "full")), 0U);
    EXPECT_FALSE(isFull(*findTarget(service, "full")));
    reportLoad(service, "full", {.running = 6, .waiting = 6, .slots = 6, .slowness = 1});
    EXPECT_TRUE(isFull(*findTarget(service, "full")));
}

TEST(Choice, ownRequestsSentAfterALoadReportOccupySlots)
{
    ServiceState service;
    updateTargets(service, {record("one")}, NOW);
    auto &target = *findTarget(service, "one");
    target.ownInFlight = 1;
    recordLoadReport(service, target, {.running = 5, .waiting = 0, .slots = 6, .slowness = 1}, NOW);
    EXPECT_EQ(freeSlots(target), 1U);
    ++target.ownInFlight;
    EXPECT_EQ(freeSlots(target), 0U);
}

TEST(Choice, leavingAndQuietTargetsAreNeverCandidates)
{
    ServiceState service;
    updateTargets(service, {record("good"), record("leaving"), record("quiet")}, NOW);
    findTarget(service, "leaving")->isLeaving = true;
    findTarget(service, "quiet")->quietUntil = NOW + 2s;
    Core::Random random{3};
    EXPECT_EQ(candidates(service, inputHere(), NOW, random), (std::vector<std::string>{"good"}));
    EXPECT_EQ(timeUntilFirstAcceptsRequests(service, inputHere(), NOW), std::nullopt);
    updateTargets(service, {record("leaving"), record("quiet")}, NOW);
    EXPECT_TRUE(candidates(service, inputHere(), NOW, random).empty());
    EXPECT_EQ(timeUntilFirstAcceptsRequests(service, inputHere(), NOW), 2s);
    EXPECT_EQ(candidates(service, inputHere(), NOW + 2s, random), (std::vector<std::string>{"quiet"}));
}

} // namespace Briarbend::Fleet
