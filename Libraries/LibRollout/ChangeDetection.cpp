#include <LibRollout/ChangeDetection.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <set>
#include <utility>

namespace Briarbend::Rollout
{

namespace
{

constexpr std::array FAILURE_FACTORS{4.0, 16.0, 64.0};
constexpr double LARGEST_FAILURE_SHARE = 0.9;
/// Failures that the old version is taken to have had beside those seen, at the tolerated share: few enough to fade within a second of
/// traffic, so that a fault of both versions shows in the old one as fast as in the new one.
constexpr double PRIOR_FAILURES = 0.1;
constexpr double SLOW_UNIT_SHARE = 0.9;
constexpr double LARGEST_TOLERATED_SLOW_UNITS = 0.5;
constexpr double FAILURE_MARGIN = 2.0;
constexpr double SLOWNESS_MARGIN = 1.5;

/// Successes and trials of one block.
struct BlockTally {
    double events{0};
    double trials{0};
};

/// Both versions in one block.
struct BlockPair {
    BlockTally ofOld;
    BlockTally ofNew;
};

struct RouteSeries {
    std::map<BlockNumber, BlockPair> blocks;
    /// Targets of the new version with a block that was judged, and with a slow one.
    std::set<Core::TargetId> seenTargets;
    std::set<Core::TargetId> slowTargets;
};

/// Log likelihood ratio of the alternative against the tolerated share.
double logRatio(const BlockTally &tally, double tolerated, double alternative)
{
    const auto others = tally.trials - tally.events;
    return tally.events * std::log(alternative / tolerated) + others * std::log((1 - alternative) / (1 - tolerated));
}

void add(BlockTally &sum, const BlockTally &tally)
{
    sum.events += tally.events;
    sum.trials += tally.trials;
}

/// The largest value of a function of both versions' tallies over the blocks from any start to the newest one.
template<typename Evidence>
double largestOverStarts(const RouteSeries &route, Evidence evidence)
{
    BlockPair sum;
    double largest = 0;
    for (const auto &[block, pair] : std::views::reverse(route.blocks)) {
        add(sum.ofOld, pair.ofOld);
        add(sum.ofNew, pair.ofNew);
        largest = std::max(largest, evidence(sum));
    }
    return largest;
}

BlockTally &tallyOf(RouteSeries &route, BlockNumber block, VersionRole role)
{
    auto &pair = route.blocks[block];
    return role == VersionRole::New ? pair.ofNew : pair.ofOld;
}

/// Names all routes together.
const std::string ALL_ROUTES{};

std::map<std::string, RouteSeries> failureSeries(const MemberEvidence &sum)
{
    std::map<std::string, RouteSeries> routes;
    for (const auto &[key, counts] : sum.failures) {
        for (const auto &name : {ALL_ROUTES, key.route}) {
            auto &route = routes[name];
            auto &tally = tallyOf(route, key.block, key.role);
            tally.trials += counts.requests;
            tally.events += counts.failures;
        }
    }
    return routes;
}

/// Requests of one target that do not make up a unit yet.
using OpenUnits = std::map<std::pair<Core::TargetId, VersionRole>, LatencyCounts>;

void addLatencies(
    RouteSeries &route, OpenUnits &openUnits, const TargetBlock &key, const LatencyCounts &counts, const DetectionSettings &settings)
{
    auto &unit = openUnits[{key.target, key.role}];
    unit.requests += counts.requests;
    unit.slow += counts.slow;
    if (unit.requests < settings.requestsPerUnit) {
        return;
    }
    const auto isSlow = 2 * unit.slow > unit.requests;
    unit = {};
    auto &tally = tallyOf(route, key.block, key.role);
    tally.trials += 1;
    tally.events += isSlow ? 1 : 0;
    if (key.role == VersionRole::New) {
        route.seenTargets.insert(key.target);
        if (isSlow) {
            route.slowTargets.insert(key.target);
        }
    }
}

/// The counts of all routes together, block by block.
std::map<TargetBlock, LatencyCounts> overAllRoutes(const MemberEvidence &sum)
{
    std::map<TargetBlock, LatencyCounts> totals;
    for (const auto &[key, counts] : sum.latencies) {
        auto &total = totals[{.block = key.block, .route = ALL_ROUTES, .role = key.role, .target = key.target}];
        total.requests += counts.requests;
        total.slow += counts.slow;
    }
    return totals;
}

std::map<std::string, RouteSeries> slownessSeries(const MemberEvidence &sum, const DetectionSettings &settings)
{
    std::map<std::string, RouteSeries> routes;
    std::map<std::string, OpenUnits> openUnits;
    for (const auto &[key, counts] : overAllRoutes(sum)) {
        addLatencies(routes[key.route], openUnits[key.route], key, counts, settings);
    }
    for (const auto &[key, counts] : sum.latencies) {
        addLatencies(routes[key.route], openUnits[key.route], key, counts, settings);
    }
    return routes;
}

BlockTally totalOfOld(const RouteSeries &route)
{
    BlockTally total;
    std::ranges::for_each(route.blocks, [&total](const auto &entry) {
        add(total, entry.second.ofOld);
    });
    return total;
}

/// Log likelihood ratio for more failures of the new version than the old version's share makes plausible.
double failureRatio(const BlockTally &ofNew, double shareOfOld, const DetectionSettings &settings)
{
    const auto tolerated = std::min(LARGEST_FAILURE_SHARE / 2, std::max(settings.toleratedFailures, FAILURE_MARGIN * shareOfOld));
    auto largest = 0.0;
    for (const auto factor : FAILURE_FACTORS) {
        const auto alternative = std::min(LARGEST_FAILURE_SHARE, tolerated * factor);
        largest = std::max(largest, logRatio(ofNew, tolerated, alternative));
    }
    return largest;
}

/// Largest log likelihood ratio for more failures than the old version has had in all the time that is kept.
double failureEvidence(const RouteSeries &route, const DetectionSettings &settings)
{
    const auto ofOld = totalOfOld(route);
    const auto shareOfOld = (ofOld.events + 1) / (ofOld.trials + 1 / settings.toleratedFailures);
    return largestOverStarts(route, [shareOfOld, &settings](const BlockPair &pair) {
        return failureRatio(pair.ofNew, shareOfOld, settings);
    });
}

/// The same against the old version's failures since the same start. What befalls both versions from one moment on does not speak against
/// the new one.
double simultaneousFailureEvidence(const RouteSeries &route, const DetectionSettings &settings)
{
    return largestOverStarts(route, [&settings](const BlockPair &pair) {
        const auto trials = pair.ofOld.trials + PRIOR_FAILURES / settings.toleratedFailures;
        return failureRatio(pair.ofNew, (pair.ofOld.events + PRIOR_FAILURES) / trials, settings);
    });
}

/// Largest log likelihood ratio for more slow units than the old version has. Units are few, so that the old version's are taken over all
/// blocks: over the newest alone its share is a matter of chance.
double slownessEvidence(const RouteSeries &route, const DetectionSettings &settings)
{
    const auto ofOld = totalOfOld(route);
    const auto shareOfOld = (ofOld.events + 1) / (ofOld.trials + 1 / settings.toleratedSlowUnits);
    const auto tolerated = std::clamp(SLOWNESS_MARGIN * shareOfOld, settings.toleratedSlowUnits, LARGEST_TOLERATED_SLOW_UNITS);
    return largestOverStarts(route, [tolerated](const BlockPair &pair) {
        return logRatio(pair.ofNew, tolerated, SLOW_UNIT_SHARE);
    });
}

bool areTargetsSlow(const RouteSeries &route, const DetectionSettings &settings)
{
    return route.slowTargets.size() >= std::min(settings.slowTargets, route.seenTargets.size());
}

void noteSuspicion(Comparison &comparison, const std::string &route, Fault fault)
{
    comparison.suspectRoutes.insert(route);
    comparison.isFailureSuspect = comparison.isFailureSuspect || fault == Fault::Failures;
}

void noteFault(Comparison &comparison, const std::string &route, Fault fault)
{
    if (comparison.fault == Fault::None) {
        comparison.fault = fault;
        comparison.faultRoute = route;
    }
}

} // namespace

Comparison compare(const MemberEvidence &sum, const DetectionSettings &settings)
{
    Comparison comparison;
    for (const auto &[route, series] : failureSeries(sum)) {
        const auto evidence = failureEvidence(series, settings);
        if (evidence >= settings.suspicionThreshold) {
            noteSuspicion(comparison, route, Fault::Failures);
        }
        if (evidence >= settings.failureThreshold && simultaneousFailureEvidence(series, settings) >= settings.failureThreshold) {
            noteFault(comparison, route, Fault::Failures);
        }
    }
    for (const auto &[route, series] : slownessSeries(sum, settings)) {
        const auto evidence = slownessEvidence(series, settings);
        if (evidence >= settings.suspicionThreshold) {
            noteSuspicion(comparison, route, Fault::Slowness);
        }
        if (evidence >= settings.slownessThreshold && areTargetsSlow(series, settings)) {
            noteFault(comparison, route, Fault::Slowness);
        }
    }
    return comparison;
}

} // namespace Briarbend::Rollout
