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
/// Virtual failures that are added to the old version's count, with trials at the tolerated share. They are few enough to become irrelevant
/// within a second of traffic, so that a fault of both versions shows in the old one as fast as in the new one.
constexpr double PRIOR_FAILURES = 0.1;
constexpr double SLOW_UNIT_SHARE = 0.9;
constexpr double LARGEST_TOLERATED_SLOW_UNIT_SHARE = 0.5;
constexpr double FAILURE_MARGIN = 2.0;
constexpr double SLOWNESS_MARGIN = 1.5;

/// Events and trials of one interval.
struct EventTally {
    double events{0};
    double trials{0};
};

/// Tallies of both versions in one interval.
struct VersionTallies {
    EventTally oldVersion;
    EventTally newVersion;
};

struct RouteSeries {
    std::map<IntervalIndex, VersionTallies> intervals;
    /// Targets of the new version with at least one judged unit, and with at least one slow unit.
    std::set<Core::TargetId> seenTargets;
    std::set<Core::TargetId> slowTargets;
};

/// Log likelihood ratio of the alternative share against the tolerated share.
double logRatio(const EventTally &tally, double tolerated, double alternative)
{
    const auto nonEvents = tally.trials - tally.events;
    return tally.events * std::log(alternative / tolerated) + nonEvents * std::log((1 - alternative) / (1 - tolerated));
}

void add(EventTally &sum, const EventTally &tally)
{
    sum.events += tally.events;
    sum.trials += tally.trials;
}

/// Maximum of a function of both versions' tallies, summed from any starting interval to the newest one.
template<typename Evidence>
double maximumOverStarts(const RouteSeries &route, Evidence evidence)
{
    VersionTallies sum;
    double largest = 0;
    for (const auto &[interval, pair] : std::views::reverse(route.intervals)) {
        add(sum.oldVersion, pair.oldVersion);
        add(sum.newVersion, pair.newVersion);
        largest = std::max(largest, evidence(sum));
    }
    return largest;
}

EventTally &tallyOf(RouteSeries &route, IntervalIndex interval, VersionRole role)
{
    auto &pair = route.intervals[interval];
    return role == VersionRole::New ? pair.newVersion : pair.oldVersion;
}

/// Key of the series over all routes.
const std::string ALL_ROUTES{};

std::map<std::string, RouteSeries> failureSeries(const MemberEvidence &sum)
{
    std::map<std::string, RouteSeries> routes;
    for (const auto &[key, counts] : sum.failures) {
        for (const auto &name : {ALL_ROUTES, key.route}) {
            auto &route = routes[name];
            auto &tally = tallyOf(route, key.interval, key.role);
            tally.trials += counts.requests;
            tally.events += counts.failures;
        }
    }
    return routes;
}

/// Requests of one target that are too few for a unit so far.
using PartialUnits = std::map<std::pair<Core::TargetId, VersionRole>, LatencyCounts>;

void addLatencies(RouteSeries &route,
                  PartialUnits &partialUnits,
                  const TargetInterval &key,
                  const LatencyCounts &counts,
                  const DetectionSettings &settings)
{
    auto &unit = partialUnits[{key.target, key.role}];
    unit.requests += counts.requests;
    unit.slow += counts.slow;
    if (unit.requests < settings.requestsPerUnit) {
        return;
    }
    const auto isSlow = 2 * unit.slow > unit.requests;
    unit = {};
    auto &tally = tallyOf(route, key.interval, key.role);
    tally.trials += 1;
    tally.events += isSlow ? 1 : 0;
    if (key.role == VersionRole::New) {
        route.seenTargets.insert(key.target);
        if (isSlow) {
            route.slowTargets.insert(key.target);
        }
    }
}

/// Sums the latency counts of all routes for each interval, version and target.
std::map<TargetInterval, LatencyCounts> sumOverRoutes(const MemberEvidence &sum)
{
    std::map<TargetInterval, LatencyCounts> totals;
    for (const auto &[key, counts] : sum.latencies) {
        auto &total = totals[{.interval = key.interval, .route = ALL_ROUTES, .role = key.role, .target = key.target}];
        total.requests += counts.requests;
        total.slow += counts.slow;
    }
    return totals;
}

std::map<std::string, RouteSeries> slownessSeries(const MemberEvidence &sum, const DetectionSettings &settings)
{
    std::map<std::string, RouteSeries> routes;
    std::map<std::string, PartialUnits> partialUnits;
    for (const auto &[key, counts] : sumOverRoutes(sum)) {
        addLatencies(routes[key.route], partialUnits[key.route], key, counts, settings);
    }
    for (const auto &[key, counts] : sum.latencies) {
        addLatencies(routes[key.route], partialUnits[key.route], key, counts, settings);
    }
    return routes;
}

EventTally totalOldTally(const RouteSeries &route)
{
    EventTally total;
    std::ranges::for_each(route.intervals, [&total](const auto &entry) {
        add(total, entry.second.oldVersion);
    });
    return total;
}

/// Log likelihood ratio for more failures of the new version than the old version's failure share explains.
double failureLogRatio(const EventTally &newVersion, double oldShare, const DetectionSettings &settings)
{
    const auto tolerated = std::min(LARGEST_FAILURE_SHARE / 2, std::max(settings.toleratedFailureShare, FAILURE_MARGIN * oldShare));
    auto largest = 0.0;
    for (const auto factor : FAILURE_FACTORS) {
        const auto alternative = std::min(LARGEST_FAILURE_SHARE, tolerated * factor);
        largest = std::max(largest, logRatio(newVersion, tolerated, alternative));
    }
    return largest;
}

/// Maximum log likelihood ratio for more failures of the new version than the old version had over all retained intervals.
double failureEvidence(const RouteSeries &route, const DetectionSettings &settings)
{
    const auto oldVersion = totalOldTally(route);
    const auto oldShare = (oldVersion.events + 1) / (oldVersion.trials + 1 / settings.toleratedFailureShare);
    return maximumOverStarts(route, [oldShare, &settings](const VersionTallies &pair) {
        return failureLogRatio(pair.newVersion, oldShare, settings);
    });
}

/// Like failureEvidence, but compares with the old version's failures since the same starting interval. A fault that begins in both
/// versions at once does not count against the new one.
double simultaneousFailureEvidence(const RouteSeries &route, const DetectionSettings &settings)
{
    return maximumOverStarts(route, [&settings](const VersionTallies &pair) {
        const auto trials = pair.oldVersion.trials + PRIOR_FAILURES / settings.toleratedFailureShare;
        return failureLogRatio(pair.newVersion, (pair.oldVersion.events + PRIOR_FAILURES) / trials, settings);
    });
}

/// Maximum log likelihood ratio for more slow units of the new version than of the old one. Units are few, so the old version's share is
/// taken over all intervals: over the newest ones alone it would be random.
double slownessEvidence(const RouteSeries &route, const DetectionSettings &settings)
{
    const auto oldVersion = totalOldTally(route);
    const auto oldShare = (oldVersion.events + 1) / (oldVersion.trials + 1 / settings.toleratedSlowUnitShare);
    const auto tolerated = std::clamp(SLOWNESS_MARGIN * oldShare, settings.toleratedSlowUnitShare, LARGEST_TOLERATED_SLOW_UNIT_SHARE);
    return maximumOverStarts(route, [tolerated](const VersionTallies &pair) {
        return logRatio(pair.newVersion, tolerated, SLOW_UNIT_SHARE);
    });
}

bool areTargetsSlow(const RouteSeries &route, const DetectionSettings &settings)
{
    return route.slowTargets.size() >= std::min(settings.minimumSlowTargets, route.seenTargets.size());
}

void recordSuspicion(Comparison &comparison, const std::string &route, Fault fault)
{
    comparison.suspectRoutes.insert(route);
    comparison.isFailureSuspect = comparison.isFailureSuspect || fault == Fault::Failures;
}

void recordFault(Comparison &comparison, const std::string &route, Fault fault)
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
            recordSuspicion(comparison, route, Fault::Failures);
        }
        if (evidence >= settings.failureThreshold && simultaneousFailureEvidence(series, settings) >= settings.failureThreshold) {
            recordFault(comparison, route, Fault::Failures);
        }
    }
    for (const auto &[route, series] : slownessSeries(sum, settings)) {
        const auto evidence = slownessEvidence(series, settings);
        if (evidence >= settings.suspicionThreshold) {
            recordSuspicion(comparison, route, Fault::Slowness);
        }
        if (evidence >= settings.slownessThreshold && areTargetsSlow(series, settings)) {
            recordFault(comparison, route, Fault::Slowness);
        }
    }
    return comparison;
}

} // namespace Briarbend::Rollout
