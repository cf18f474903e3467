#include <LibRouting/Policy.h>

#include <algorithm>
#include <array>

namespace Briarbend::Routing
{

namespace
{

/// Candidates compared where no load report is fresh.
constexpr std::size_t FALLBACK_CHOICES = 2;

bool hasFreshReport(const TargetTable &table, const TargetState &target, Core::TimePoint now)
{
    return target.evidence && now - target.evidence->receivedAt <= table.parameters.reportLifetime
        && target.evidence->uses < table.parameters.usesPerReport;
}

std::size_t pickRoundRobin(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint, Core::Random &)
{
    const auto next = std::ranges::lower_bound(candidates, table.nextInTurn);
    const auto chosen = next == candidates.end() ? candidates.front() : *next;
    table.nextInTurn = chosen + 1;
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
    // The scan begins at a random place so that ties do not all go to the first target.
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

std::size_t pickFastestOfFew(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint now, Core::Random &random)
{
    std::array<std::size_t, FALLBACK_CHOICES> few{};
    std::ranges::generate(few, [&] {
        return candidates[random.below(candidates.size())];
    });
    return *std::ranges::min_element(few, {}, [&](std::size_t index) {
        return expectedLatency(table, table.targets[index], now);
    });
}

struct PoolEntry {
    std::size_t index;
    double inFlight;
};

/// Largest number of requests in flight at which a target of the pool still counts as not hot.
double hotThreshold(const std::vector<PoolEntry> &pool, double quantile)
{
    std::vector<double> counts;
    std::ranges::transform(pool, std::back_inserter(counts), &PoolEntry::inFlight);
    const auto last = static_cast<double>(counts.size() - 1);
    const auto middle = counts.begin() + static_cast<std::ptrdiff_t>(std::clamp(quantile, 0.0, 1.0) * last);
    std::ranges::nth_element(counts, middle);
    return *middle;
}

std::size_t pickFromProbePool(TargetTable &table, std::span<const std::size_t> candidates, Core::TimePoint now, Core::Random &random)
{
    std::vector<PoolEntry> pool;
    for (const auto index : candidates) {
        if (hasFreshReport(table, table.targets[index], now)) {
            pool.push_back({index, estimatedInFlight(table, table.targets[index], now)});
        }
    }
    if (pool.size() < FALLBACK_CHOICES) {
        return pickFastestOfFew(table, candidates, now, random);
    }
    const auto threshold = hotThreshold(pool, table.parameters.hotQuantile);
    std::erase_if(pool, [threshold](const PoolEntry &entry) {
        return entry.inFlight > threshold;
    });
    const auto best = std::ranges::min_element(pool, {}, [&](const PoolEntry &entry) {
        return expectedLatency(table, table.targets[entry.index], now);
    });
    ++table.targets[best->index].evidence->uses;
    return best->index;
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
    return pickFromProbePool;
}

} // namespace Briarbend::Routing
