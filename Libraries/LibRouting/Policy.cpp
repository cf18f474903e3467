#include <LibRouting/Policy.h>

#include <algorithm>

namespace Briarbend::Routing
{

namespace
{

std::size_t pickRoundRobin(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint, Core::Random &)
{
    const auto next = std::ranges::lower_bound(candidates, table.nextRoundRobinIndex);
    const auto chosen = next == candidates.end() ? candidates.front() : *next;
    table.nextRoundRobinIndex = chosen + 1;
    return chosen;
}

std::size_t pickTwoChoices(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint, Core::Random &random)
{
    const auto first = candidates[random.below(candidates.size())];
    const auto second = candidates[random.below(candidates.size())];
    return table.targets[second].ownInFlight < table.targets[first].ownInFlight ? second : first;
}

std::size_t pickLeastInFlight(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint, Core::Random &random)
{
    // The scan starts at a random position so that ties do not all go to the first target.
    const auto offset = random.below(candidates.size());
    const auto rotated = [&](std::size_t step) {
        return candidates[(offset + step) % candidates.size()];
    };
    const auto inFlight = [&](std::size_t step) {
        return table.targets[rotated(step)].ownInFlight;
    };
    std::size_t best = 0;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        best = inFlight(step) < inFlight(best) ? step : best;
    }
    return rotated(best);
}

std::size_t pickCheapest(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint now, Core::Random &random)
{
    const auto offset = random.below(candidates.size());
    auto best = candidates[offset];
    auto leastCost = sendCost(table, table.targets[best], now);
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        const auto index = candidates[(offset + step) % candidates.size()];
        const auto cost = sendCost(table, table.targets[index], now);
        if (cost < leastCost) {
            best = index;
            leastCost = cost;
        }
    }
    return best;
}

} // namespace

Policy policyFunction(Configuration::RoutingPolicy policy)
{
    switch (policy) {
    case Configuration::RoutingPolicy::RoundRobin:
        return pickRoundRobin;
    case Configuration::RoutingPolicy::RandomTwoChoices:
        return pickTwoChoices;
    case Configuration::RoutingPolicy::LeastInFlight:
        return pickLeastInFlight;
    case Configuration::RoutingPolicy::ProbePool:
        break;
    }
    return pickCheapest;
}

} // namespace Briarbend::Routing
