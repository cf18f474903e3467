#pragma once

#include <LibRollout/Evidence.h>
#include <LibRollout/Status.h>

#include <cstddef>
#include <string>

namespace Briarbend::Rollout
{

/// Settings of the verdict on a trial. The significances are probabilities that a version as good as the old one shows what was seen.
struct VerdictSettings {
    /// Minimum number of answers of warm targets of the new version.
    std::uint64_t minimumAnswers{16};
    /// The same for each route that makes up at least `relevantTrafficFraction` of the old version's answers.
    std::uint64_t minimumAnswersPerRoute{4};
    double relevantTrafficFraction{0.1};
    /// Latency buckets by which the new version may exceed the old one: a factor of 1.4.
    unsigned toleratedBuckets{2};
    /// Share of the new version's targets that may be faulty by themselves, rounded down, but at least one.
    double faultyTargetShare{0.17};
    /// Below this significance the new version is worse at any time of the trial.
    double immediateSignificance{1e-4};
    /// From this significance on it is proven at the end of the trial. In between the trial is extended.
    double provenSignificance{0.1};
    /// From this significance on it is proven when the trial can't be extended any more.
    double finalSignificance{0.02};
};

/// Whether failures of targets that have not answered any request well count.
enum class SilentTargets {
    Counted,
    LeftOut,
};

/// What the answers of a trial say about the new version.
struct Verdict {
    /// Answers of warm targets of the new version.
    std::uint64_t answers{0};
    /// There are enough answers, on each relevant route, to tell a good version.
    bool isSufficient{false};
    /// The least probability, over all comparisons, that a version as good as the old one does as badly.
    double significance{1};
    /// What that comparison counted, and on which route; empty for all routes together.
    Fault fault{Fault::None};
    std::string route;
};

/// Compares failures and latencies of both versions exactly (Fisher, "The Logic of Inductive Inference", 1935): over all routes together
/// and route by route, and latencies at each threshold above the old version's median. A few targets of which most requests go wrong are
/// left out, since they may be faulty by themselves.
Verdict judge(const std::map<AnswerGroup, AnswerCounts> &answers,
              const VerdictSettings &settings,
              SilentTargets silentTargets = SilentTargets::Counted);

/// Probability that at least `events` of `sampled` draws without replacement are events, where `totalEvents` of `total` are.
double tailProbability(std::uint64_t events, std::uint64_t sampled, std::uint64_t totalEvents, std::uint64_t total);

} // namespace Briarbend::Rollout
