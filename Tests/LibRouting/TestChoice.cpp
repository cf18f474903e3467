#include <LibRouting/Choice.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace Briarbend::Routing
{

namespace
{

using namespace std::chrono_literals;
using Configuration::RoutingPolicy;

const Core::TimePoint NOW{100s};
constexpr std::array POLICIES{
    RoutingPolicy::ProbePool, RoutingPolicy::RoundRobin, RoutingPolicy::RandomTwoChoices, RoutingPolicy::LeastInFlight};

/// Six targets: two in each of three data centres; the second of each runs version 2.
TargetTable sixTargets(RoutingPolicy policy = RoutingPolicy::ProbePool)
{
    TargetTable table;
    table.parameters.ownDataCentre = {"dc-0"};
    table.parameters.policy = policy;
    std::vector<TargetRecord> records;
    for (std::size_t number = 0; number < 6; ++number) {
        records.push_back({{std::to_string(number)}, {"dc-" + std::to_string(number / 2)}, {number % 2 == 0 ? "v1" : "v2"}, false});
    }
    updateTargets(table, records);
    return table;
}

std::map<std::string, int> chosenOf(TargetTable &table, const ChoiceInput &input, int requests)
{
    Core::Random random{11};
    std::map<std::string, int> counts;
    for (int request = 0; request < requests; ++request) {
        const auto choice = chooseTarget(table, input, NOW, random);
        ++counts[choice.target ? choice.target->value : "none"];
    }
    return counts;
}

} // namespace

RC_GTEST_PROP(Choice, everyPolicyRespectsAllConstraintsAndFindsAPermittedTarget, (std::uint64_t seed))
{
    Core::Random random{seed};
    auto table = sixTargets(POLICIES[random.below(POLICIES.size())]);
    std::map<std::string, Permission> permissions;
    std::vector<Core::TargetId> excluded;
    for (auto &target : table.targets) {
        target.record.isLeaving = random.below(4) == 0;
        target.ownInFlight = static_cast<std::uint32_t>(random.below(5));
        permissions[target.record.id.value] = static_cast<Permission>(random.below(4));
        if (random.below(5) == 0) {
            target.ejection.until = NOW + 1s;
        }
        if (random.below(4) == 0) {
            excluded.push_back(target.record.id);
        }
    }
    const std::vector<VersionShare> versions{{{"v1"}, static_cast<double>(random.below(2))}, {{"v2"}, 0.01}};
    const std::vector<Core::DataCentreName> out{{"dc-" + std::to_string(random.below(5))}};
    const ChoiceInput input{
        .excluded = excluded, .versions = versions, .dataCentresOut = out, .permission = [&](const TargetState &target) {
            return permissions.at(target.record.id.value);
        }};
    const auto isAllowed = [&](const TargetState &target) {
        const auto &record = target.record;
        const auto permission = permissions.at(record.id.value);
        const bool hasShare = record.version.value == "v2" || versions.front().share > 0;
        return !record.isLeaving && hasShare && std::ranges::find(excluded, record.id) == excluded.end() && record.dataCentre != out.front()
            && (permission == Permission::Permitted || permission == Permission::PermittedCold);
    };

    const auto choice = chooseTarget(table, input, NOW, random);
    RC_ASSERT(choice.target.has_value() == (choice.failure == ChoiceFailure::None));
    if (!choice.target) {
        // Ejected targets are skipped only in favour of others, so one permitted target is enough for a choice.
        const auto isAllowedNow = [&](const TargetState &target) {
            return isAllowed(target) && !isEjected(target, NOW);
        };
        RC_ASSERT(std::ranges::none_of(table.targets, isAllowedNow));
        return;
    }
    const auto &target = *findTarget(table, *choice.target);
    RC_ASSERT(isAllowed(target));
    RC_ASSERT(choice.isColdTrial == (permissions.at(choice.target->value) == Permission::PermittedCold));
}

TEST(Choice, versionsReceiveTheirShares)
{
    for (const auto policy : POLICIES) {
        auto table = sixTargets(policy);
        const std::vector<VersionShare> versions{{{"v1"}, 0.98}, {{"v2"}, 0.02}};
        const auto counts = chosenOf(table, {.versions = versions}, 20'000);
        int second = 0;
        for (const auto &[id, count] : counts) {
            second += id == "1" || id == "3" || id == "5" ? count : 0;
        }
        EXPECT_GT(second, 300);
        EXPECT_LT(second, 500);
    }
}

TEST(Choice, ownDataCentreIsPreferredUntilItIsMoreLoaded)
{
    auto table = sixTargets();
    auto counts = chosenOf(table, {}, 100);
    EXPECT_EQ(counts["0"] + counts["1"], 100);
    findTarget(table, {"0"})->ownInFlight = 12;
    findTarget(table, {"1"})->ownInFlight = 12;
    counts = chosenOf(table, {}, 100);
    EXPECT_EQ(counts["0"] + counts["1"], 0);
}

TEST(Choice, coldTargetsReceiveTrialsAndAreTheLastResort)
{
    auto table = sixTargets();
    const auto isCold = [](const TargetState &target) {
        return target.record.id.value == "2" ? Permission::PermittedCold : Permission::Permitted;
    };
    findTarget(table, {"2"})->wasCold = true;
    const auto counts = chosenOf(table, {.permission = isCold}, 10'000);
    EXPECT_GT(counts.at("2"), 350);
    EXPECT_LT(counts.at("2"), 650);

    const auto allRefused = [](const TargetState &target) {
        return target.record.id.value == "2" ? Permission::PermittedCold : Permission::RefusedCold;
    };
    EXPECT_EQ(chosenOf(table, {.permission = allRefused}, 100).at("2"), 100);

    Core::Random random{5};
    const auto noConnections = [](const TargetState &target) {
        return target.record.id.value == "2" ? Permission::RefusedConnections : Permission::RefusedCold;
    };
    EXPECT_EQ(chooseTarget(table, {.permission = noConnections}, NOW, random).failure, ChoiceFailure::Connections);
}

} // namespace Briarbend::Routing
