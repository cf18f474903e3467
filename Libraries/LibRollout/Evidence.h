#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRollout/LatencyBucket.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Counts that instances collect about the old and the new version of a service during a rollout.
namespace Briarbend::Rollout
{

/// The version that a request was sent to.
enum class VersionRole : std::uint8_t {
    Old = 0,
    New = 1,
};

/// Requests in flight at the target when a request was sent, relative to the target's slots.
enum class LoadLevel : std::uint8_t {
    /// Below a third.
    Low = 0,
    /// Below two thirds.
    Medium = 1,
    High = 2,
};

LoadLevel loadLevelOf(std::uint32_t requestsInFlight, std::uint32_t slots);

/// Requests of one route at one load level. The new version's share is decided separately for each segment.
struct TrafficSegment {
    /// The route's path prefix.
    std::string route;
    LoadLevel level{LoadLevel::Low};

    auto operator<=>(const TrafficSegment &) const = default;
};

/// Index of a wall clock interval of Settings::intervalLength, counted from the epoch. Clock skew moves counts into a neighbouring
/// interval.
using IntervalIndex = std::int64_t;

/// Key of the failure counts of one version on one route within one interval.
struct RouteInterval {
    IntervalIndex interval{0};
    std::string route;
    VersionRole role{VersionRole::Old};

    auto operator<=>(const RouteInterval &) const = default;
};

struct FailureCounts {
    std::uint32_t requests{0};
    std::uint32_t failures{0};

    bool operator==(const FailureCounts &) const = default;
};

/// Key of the latency counts of one sampled target on one route within one interval. Noisy neighbours slow down a machine, not a version,
/// so slowness is judged by whole targets.
struct TargetInterval {
    IntervalIndex interval{0};
    std::string route;
    VersionRole role{VersionRole::Old};
    Core::TargetId target;

    auto operator<=>(const TargetInterval &) const = default;
};

struct LatencyCounts {
    std::uint32_t requests{0};
    /// Requests that took longer than the slow threshold of the instance that sent them.
    std::uint32_t slow{0};

    bool operator==(const LatencyCounts &) const = default;
};

/// Responses of both versions, without those of cold targets.
struct ResponseCounts {
    /// Responses without failure.
    std::uint64_t oldSuccesses{0};
    std::uint64_t newSuccesses{0};
    /// Responses without failure that were not slow, as far as the slow threshold was known.
    std::uint64_t oldFastSuccesses{0};
    std::uint64_t newFastSuccesses{0};
    /// All requests, including failed ones.
    std::uint64_t requestsToOld{0};
    std::uint64_t requestsToNew{0};

    bool operator==(const ResponseCounts &) const = default;
};

/// Key of one version's answers on one route. The targets of the old version are not told apart.
struct AnswerGroup {
    std::string route;
    VersionRole role{VersionRole::Old};
    Core::TargetId target;

    auto operator<=>(const AnswerGroup &) const = default;
};

/// Answers since the rollout began.
struct AnswerCounts {
    std::uint64_t failures{0};
    /// Answers without failure of cold targets, whose latency says nothing about the version.
    std::uint64_t coldSuccesses{0};
    /// Other answers without failure, by latency.
    std::map<LatencyBucket, std::uint64_t> successes;

    bool operator==(const AnswerCounts &) const = default;
};

/// One instance's counts. A later revision replaces an earlier one.
struct MemberEvidence {
    std::uint64_t revision{0};
    std::map<RouteInterval, FailureCounts> failures;
    std::map<TargetInterval, LatencyCounts> latencies;
    /// Responses since the rollout began.
    std::map<TrafficSegment, ResponseCounts> responses;
    /// Empty in evidence of earlier versions of the program.
    std::map<AnswerGroup, AnswerCounts> answers;

    bool operator==(const MemberEvidence &) const = default;
};

/// Removes the counts of intervals before the given one.
void pruneBefore(MemberEvidence &evidence, IntervalIndex interval);

void add(ResponseCounts &sum, const ResponseCounts &other);

void add(AnswerCounts &sum, const AnswerCounts &other);

/// Adds the counts of another member, without the answers, which are needed less often.
void add(MemberEvidence &sum, const MemberEvidence &other);
/// Adds the answers alone.
void add(std::map<AnswerGroup, AnswerCounts> &sum, const std::map<AnswerGroup, AnswerCounts> &other);

/// Encodes to CBOR (RFC 8949) for gossip.
std::vector<std::uint8_t> encodeEvidence(const MemberEvidence &evidence);
/// Throws CodecError.
MemberEvidence decodeEvidence(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Rollout
