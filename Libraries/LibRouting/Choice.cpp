#include <LibRouting/Choice.h>

#include <LibRouting/Policy.h>

#include <algorithm>
#include <numeric>

namespace Briarbend::Routing
{

namespace
{

using Candidates = std::vector<std::size_t>;

Candidates eligibleTargets(const TargetTable &table, const ChoiceInput &input)
{
    Candidates eligible;
    for (std::size_t index = 0; index < table.targets.size(); ++index) {
        if (isEligible(table.targets[index], input)) {
            eligible.push_back(index);
        }
    }
    return eligible;
}

/// Removes ejected targets, unless that would leave none.
Candidates withoutEjected(const TargetTable &table, const Candidates &candidates, Core::TimePoint now)
{
    Candidates kept;
    std::ranges::copy_if(candidates, std::back_inserter(kept), [&](std::size_t index) {
        return !isEjected(table.targets[index], now);
    });
    return kept.empty() ? candidates : kept;
}

Candidates ofVersion(const TargetTable &table, const Candidates &candidates, const Core::VersionName &version)
{
    Candidates kept;
    std::ranges::copy_if(candidates, std::back_inserter(kept), [&](std::size_t index) {
        return table.targets[index].record.version == version;
    });
    return kept;
}

Permission queryPermission(TargetState &target, const ChoiceInput &input)
{
    const auto permission = input.permission ? input.permission(target) : Permission::Permitted;
    target.wasCold = permission == Permission::PermittedCold || permission == Permission::RefusedCold;
    return permission;
}

/// A cold target that can take a request, among those that were cold at the last permission query.
std::optional<std::size_t> findColdTrial(TargetTable &table, const Candidates &candidates, const ChoiceInput &input, Core::Random &random)
{
    Candidates cold;
    std::ranges::copy_if(candidates, std::back_inserter(cold), [&](std::size_t index) {
        return table.targets[index].wasCold;
    });
    if (cold.empty()) {
        return std::nullopt;
    }
    std::rotate(cold.begin(), cold.begin() + static_cast<std::ptrdiff_t>(random.below(cold.size())), cold.end());
    const auto found = std::ranges::find_if(cold, [&](std::size_t index) {
        return queryPermission(table.targets[index], input) == Permission::PermittedCold;
    });
    return found == cold.end() ? std::nullopt : std::optional{*found};
}

Choice makeChoice(const TargetTable &table, std::size_t index, bool isColdTrial)
{
    return {.target = table.targets[index].record.id, .failure = ChoiceFailure::None, .isColdTrial = isColdTrial};
}

/// Lets the policy pick until a pick is permitted. Cold targets that can take a request are the last resort.
Choice pickPermitted(TargetTable &table, Candidates candidates, const ChoiceInput &input, Core::TimePoint now, Core::Random &random)
{
    const auto policy = policyFunction(table.parameters.policy);
    std::optional<std::size_t> lastResort;
    auto failure = ChoiceFailure::NoneEligible;
    while (!candidates.empty()) {
        const auto index = policy(table, candidates, now, random);
        const auto permission = queryPermission(table.targets[index], input);
        if (permission == Permission::Permitted) {
            return makeChoice(table, index, false);
        }
        if (permission == Permission::PermittedCold && !lastResort) {
            lastResort = index;
        }
        if (permission == Permission::RefusedConnections) {
            failure = ChoiceFailure::Connections;
        } else if (failure != ChoiceFailure::Connections) {
            failure = ChoiceFailure::Cold;
        }
        std::erase(candidates, index);
    }
    return lastResort ? makeChoice(table, *lastResort, true) : Choice{.target = std::nullopt, .failure = failure};
}

Choice chooseAmong(TargetTable &table, const Candidates &candidates, const ChoiceInput &input, Core::TimePoint now, Core::Random &random)
{
    if (random.unit() < table.parameters.coldTrialShare) {
        if (const auto trial = findColdTrial(table, candidates, input, random)) {
            return makeChoice(table, *trial, true);
        }
    }
    return pickPermitted(table, withoutEjected(table, candidates, now), input, now, random);
}

/// Draws one version by its share and removes it from the list.
VersionShare drawVersion(std::vector<VersionShare> &versions, Core::Random &random)
{
    const auto sum = std::transform_reduce(versions.begin(), versions.end(), 0.0, std::plus{}, [](const VersionShare &version) {
        return version.share;
    });
    auto rest = random.unit() * sum;
    auto drawn = std::ranges::find_if(versions, [&rest](const VersionShare &version) {
        rest -= version.share;
        return rest < 0;
    });
    drawn = drawn == versions.end() ? std::prev(drawn) : drawn;
    auto result = *drawn;
    versions.erase(drawn);
    return result;
}

} // namespace

bool isEligible(const TargetState &target, const ChoiceInput &input)
{
    const auto &record = target.record;
    const bool reportsLeaving = target.latestReport && target.latestReport->report.isLeaving;
    return !record.isLeaving && !reportsLeaving && std::ranges::find(input.dataCentresOut, record.dataCentre) == input.dataCentresOut.end()
        && std::ranges::find(input.excluded, record.id) == input.excluded.end();
}

Choice chooseTarget(TargetTable &table, const ChoiceInput &input, Core::TimePoint now, Core::Random &random)
{
    const auto eligible = eligibleTargets(table, input);
    if (input.versions.empty()) {
        return chooseAmong(table, eligible, input, now, random);
    }
    std::vector<VersionShare> versions;
    std::ranges::copy_if(input.versions, std::back_inserter(versions), [](const VersionShare &version) {
        return version.share > 0;
    });
    Choice result{.target = std::nullopt, .failure = ChoiceFailure::NoneEligible};
    while (!versions.empty() && !result.target) {
        const auto version = drawVersion(versions, random);
        const auto choice = chooseAmong(table, ofVersion(table, eligible, version.version), input, now, random);
        if (choice.target || choice.failure != ChoiceFailure::NoneEligible) {
            result = choice;
        }
    }
    return result;
}

} // namespace Briarbend::Routing
