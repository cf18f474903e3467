#include <LibRollout/Verdict.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <vector>

namespace Briarbend::Rollout
{

namespace
{

/// Answers of one target, or of all targets of the old version, by latency relative to the old version's median on the same route.
struct RelativeCounts {
    std::uint64_t failures{0};
    /// Includes answers of cold targets.
    std::uint64_t answers{0};
    std::uint64_t warmSuccesses{0};
    /// By the number of buckets above the median; at or below it the answers are in the first one.
    std::array<std::uint64_t, LATENCY_BUCKETS> successes{};
};

struct Series {
    RelativeCounts oldVersion;
    std::map<Core::TargetId, RelativeCounts> newVersion;
};

struct Sample {
    std::uint64_t events{0};
    std::uint64_t trials{0};
};

std::uint64_t successesOf(const AnswerCounts &counts)
{
    return std::transform_reduce(counts.successes.begin(), counts.successes.end(), std::uint64_t{0}, std::plus{}, [](const auto &entry) {
        return entry.second;
    });
}

LatencyBucket medianOf(const AnswerCounts &counts)
{
    const auto total = successesOf(counts);
    std::uint64_t seen = 0;
    const auto median = std::ranges::find_if(counts.successes, [&seen, total](const auto &entry) {
        seen += entry.second;
        return 2 * seen >= total;
    });
    return median == counts.successes.end() ? LatencyBucket{0} : median->first;
}

void add(RelativeCounts &sum, const AnswerCounts &counts, LatencyBucket median)
{
    const auto successes = successesOf(counts);
    sum.failures += counts.failures;
    sum.answers += counts.failures + counts.coldSuccesses + successes;
    sum.warmSuccesses += successes;
    for (const auto &[bucket, count] : counts.successes) {
        sum.successes.at(bucket > median ? bucket - median : 0) += count;
    }
}

Sample failuresOf(const RelativeCounts &counts)
{
    return {.events = counts.failures, .trials = counts.answers};
}

Sample failuresOfAnsweringTarget(const RelativeCounts &counts)
{
    return counts.failures < counts.answers ? failuresOf(counts) : Sample{};
}

/// Answers of warm targets above the bucket.
Sample slowOnesOf(const RelativeCounts &counts, std::size_t bucket)
{
    const auto first = counts.successes.begin() + static_cast<std::ptrdiff_t>(std::min(bucket + 1, counts.successes.size()));
    return {.events = std::accumulate(first, counts.successes.end(), std::uint64_t{0}), .trials = counts.warmSuccesses};
}

/// The sum over the new version's targets without the few that are faulty by themselves.
template<typename SampleOf>
Sample sumWithoutFaultyTargets(const Series &series, const VerdictSettings &settings, SampleOf sampleOf)
{
    std::vector<Sample> samples;
    std::ranges::transform(series.newVersion, std::back_inserter(samples), [&sampleOf](const auto &entry) {
        return sampleOf(entry.second);
    });
    std::erase_if(samples, [](const Sample &sample) {
        return sample.trials == 0;
    });
    std::ranges::sort(samples, std::greater{}, &Sample::events);
    constexpr std::size_t FEWEST_TARGETS = 3;
    constexpr std::uint64_t FEWEST_EVENTS = 2;
    auto left = samples.size() < FEWEST_TARGETS
        ? 0
        : std::max<std::size_t>(1, static_cast<std::size_t>(settings.faultyTargetShare * static_cast<double>(samples.size())));
    Sample sum;
    for (const auto &sample : samples) {
        if (left > 0 && sample.events >= FEWEST_EVENTS && 2 * sample.events > sample.trials) {
            --left;
            continue;
        }
        sum.events += sample.events;
        sum.trials += sample.trials;
    }
    return sum;
}

double significanceOf(const Sample &oldVersion, const Sample &newVersion)
{
    return tailProbability(
        newVersion.events, newVersion.trials, newVersion.events + oldVersion.events, newVersion.trials + oldVersion.trials);
}

void record(Verdict &verdict, double significance, Fault fault, const std::string &route)
{
    if (significance < verdict.significance) {
        verdict.significance = significance;
        verdict.fault = fault;
        verdict.route = route;
    }
}

void compareSeries(
    Verdict &verdict, const Series &series, const std::string &route, const VerdictSettings &settings, SilentTargets silentTargets)
{
    const auto sampleOf = silentTargets == SilentTargets::Counted ? failuresOf : failuresOfAnsweringTarget;
    record(verdict,
           significanceOf(failuresOf(series.oldVersion), sumWithoutFaultyTargets(series, settings, sampleOf)),
           Fault::Failures,
           route);
    for (std::size_t bucket = 0; bucket + settings.toleratedBuckets < LATENCY_BUCKETS; ++bucket) {
        const auto slowOld = slowOnesOf(series.oldVersion, bucket);
        const auto slowNew = sumWithoutFaultyTargets(series, settings, [&](const RelativeCounts &counts) {
            return slowOnesOf(counts, bucket + settings.toleratedBuckets);
        });
        if (slowNew.events == 0) {
            break;
        }
        record(verdict, significanceOf(slowOld, slowNew), Fault::Slowness, route);
    }
}

std::uint64_t warmAnswersOf(const Series &series)
{
    return std::transform_reduce(series.newVersion.begin(), series.newVersion.end(), std::uint64_t{0}, std::plus{}, [](const auto &entry) {
        return entry.second.warmSuccesses + entry.second.failures;
    });
}

} // namespace

double tailProbability(std::uint64_t events, std::uint64_t sampled, std::uint64_t totalEvents, std::uint64_t total)
{
    const auto most = std::min(sampled, totalEvents);
    const auto unsampled = total - sampled;
    const auto least = totalEvents > unsampled ? totalEvents - unsampled : 0;
    if (events <= least) {
        return 1;
    }
    if (events > most) {
        return 0;
    }
    const auto logChoose = [](std::uint64_t from, std::uint64_t count) {
        const auto n = static_cast<double>(from);
        const auto k = static_cast<double>(count);
        return std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
    };
    auto term = std::exp(logChoose(totalEvents, events) + logChoose(total - totalEvents, sampled - events) - logChoose(total, sampled));
    double sum = 0;
    for (auto count = events; count <= most; ++count) {
        sum += term;
        const auto odds = static_cast<double>(totalEvents - count) * static_cast<double>(sampled - count);
        const auto rest = static_cast<double>(count + 1) * static_cast<double>(total + count + 1 - totalEvents - sampled);
        term *= odds / rest;
    }
    return std::min(1.0, sum);
}

Verdict judge(const std::map<AnswerGroup, AnswerCounts> &answers, const VerdictSettings &settings, SilentTargets silentTargets)
{
    std::map<std::string, LatencyBucket> oldMedians;
    for (const auto &[group, counts] : answers) {
        if (group.role == VersionRole::Old) {
            oldMedians[group.route] = medianOf(counts);
        }
    }
    Series all;
    std::map<std::string, Series> routes;
    for (const auto &[group, counts] : answers) {
        const auto median = oldMedians[group.route];
        for (auto *series : {&all, &routes[group.route]}) {
            add(group.role == VersionRole::Old ? series->oldVersion : series->newVersion[group.target], counts, median);
        }
    }
    Verdict verdict;
    verdict.answers = warmAnswersOf(all);
    compareSeries(verdict, all, {}, settings, silentTargets);
    if (routes.size() > 1) {
        for (const auto &[route, series] : routes) {
            compareSeries(verdict, series, route, settings, silentTargets);
        }
    }
    const auto relevant = settings.relevantTrafficFraction * static_cast<double>(all.oldVersion.answers);
    verdict.isSufficient = verdict.answers >= settings.minimumAnswers && all.oldVersion.answers >= settings.minimumAnswers
        && std::ranges::all_of(routes, [&](const auto &entry) {
                               return static_cast<double>(entry.second.oldVersion.answers) < relevant
                                   || warmAnswersOf(entry.second) >= settings.minimumAnswersPerRoute;
                           });
    return verdict;
}

} // namespace Briarbend::Rollout
