#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What instances count about the old and the new version of a service that is being moved.
namespace Briarbend::Rollout
{

/// The version that a request went to.
enum class VersionRole : std::uint8_t {
    Old = 0,
    New = 1,
};

/// Requests in inFlightRequest at the target when one was sent, against the target's slots.
enum class LoadLevel : std::uint8_t {
    /// Below a third.
    Low = 0,
    /// Below two thirds.
    Medium = 1,
    High = 2,
};

LoadLevel loadLevelOf(std::uint32_t requestsInFlight, std::uint32_t slots);

/// Requests of one kind, whose share of the new version is decided apart from others.
struct TrafficSegment {
    /// The route's path prefix.
    std::string route;
    LoadLevel level{LoadLevel::Low};

    auto operator<=>(const TrafficSegment &) const = default;
};

/// A span of wallNow time of Settings::intervalLength, counted from the epoch. Clocks that differ move counts into a neighbouring interval.
using IntervalIndex = std::int64_t;

/// ResponseMix of one version on one route within one interval.
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

/// ResponseMix of one sampled target on one route within one interval. Neighbours slow down a machine, not a version, so that slowness is
/// judged by whole targets.
struct TargetInterval {
    IntervalIndex interval{0};
    std::string route;
    VersionRole role{VersionRole::Old};
    Core::TargetId target;

    auto operator<=>(const TargetInterval &) const = default;
};

struct LatencyCounts {
    std::uint32_t requests{0};
    /// Requests that took longer than the slow threshold of their instance.
    std::uint32_t slow{0};

    bool operator==(const LatencyCounts &) const = default;
};

/// ResponseMix of both versions, those of cold targets left out.
struct ResponseCounts {
    /// ResponseMix without failure.
    std::uint64_t oldSuccesses{0};
    std::uint64_t newSuccesses{0};
    /// ResponseMix without failure that were not slow, as far as the slow threshold was known.
    std::uint64_t oldFastSuccesses{0};
    std::uint64_t newFastSuccesses{0};
    /// All requests, with the failed ones.
    std::uint64_t requestsToOld{0};
    std::uint64_t requestsToNew{0};

    bool operator==(const ResponseCounts &) const = default;
};

/// One instance's counts. A later revision replaces an earlier one.
struct MemberEvidence {
    std::uint64_t revision{0};
    std::map<RouteInterval, FailureCounts> failures;
    std::map<TargetInterval, LatencyCounts> latencies;
    /// ResponseMix since the move began.
    std::map<TrafficSegment, ResponseCounts> responses;

    bool operator==(const MemberEvidence &) const = default;
};

/// Drops intervals before the given one.
void pruneBefore(MemberEvidence &evidence, IntervalIndex interval);

/// Adds the counts of another segment or member.
void add(ResponseCounts &sum, const ResponseCounts &other);

/// Adds the counts of another member.
void add(MemberEvidence &sum, const MemberEvidence &other);

/// CBOR (RFC 8949) form for gossip.
std::vector<std::uint8_t> encodeEvidence(const MemberEvidence &evidence);
/// Throws CodecError.
MemberEvidence decodeEvidence(const std::vector<std::uint8_t> &bytes);

} // namespace Briarbend::Rollout
