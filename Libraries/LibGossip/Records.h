#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <string>
#include <variant>

/// Records that instances gossip to each other. Each kind has a key and a merge rule that is commutative, associative and idempotent, so
/// that reordered, repeated and lost messages do not affect the result.
namespace Briarbend::Gossip
{

/// A team's configuration section as accepted by the store. Key: team. The highest store version wins and is never replaced by a lower one.
struct SectionText {
    Core::TeamName team;
    std::uint64_t storeVersion{0};
    /// TOML; empty if the team removed its section.
    std::string text;

    bool operator==(const SectionText &) const = default;
};

enum class RolloutPhase : std::uint8_t {
    Running,
    Done,
    RolledBack,
};

/// Identifies one rollout. The start time distinguishes it from earlier rollouts between the same versions.
struct RolloutKey {
    Core::ServiceName service;
    Core::VersionName from;
    Core::VersionName to;
    Core::WallTime start;

    auto operator<=>(const RolloutKey &) const = default;
};

/// The progress of a rollout. Rolled back overrides every other phase and done overrides running; within a phase the higher step wins.
struct RolloutProgressRecord {
    RolloutKey rollout;
    RolloutPhase phase{RolloutPhase::Running};
    std::uint32_t step{0};

    bool operator==(const RolloutProgressRecord &) const = default;
};

/// Number of buckets in the latency histogram of a RequestStatsRecord.
constexpr std::size_t LATENCY_HISTOGRAM_BUCKETS = 12;

/// One version on one route at one load level.
struct RequestStatsScope {
    Core::ServiceName service;
    Core::VersionName version;
    std::string routePrefix;
    std::uint8_t loadBucket{0};

    auto operator<=>(const RequestStatsScope &) const = default;
};

/// Identifies the statistics of one instance for a scope. Ordered by scope first, so that the records of all instances for one scope are
/// adjacent.
struct RequestStatsKey {
    RequestStatsScope scope;
    /// Membership::memberHash of the publishing instance.
    std::uint32_t member{0};

    auto operator<=>(const RequestStatsKey &) const = default;
};

/// Running totals of one instance; the sum over all members gives the fleet-wide statistics. Key: RequestStatsKey. The newest totals of a
/// member replace older ones.
struct RequestStatsRecord {
    RequestStatsKey key;
    /// Incremented by the member with every publication.
    std::uint64_t sequence{0};
    std::uint64_t requests{0};
    std::uint64_t failures{0};
    /// Requests by latency. The bucket bounds are defined by the publisher and the reader of the record.
    std::array<std::uint32_t, LATENCY_HISTOGRAM_BUCKETS> latencyCounts{};

    bool operator==(const RequestStatsRecord &) const = default;
};

/// Completed requests that one instance contributes to the warm-up of one start of a target. Key: start and member. The higher epoch wins,
/// then the higher count.
struct WarmUpProgressRecord {
    Core::TargetStartId start;
    Core::InstanceId member;
    /// Incremented by an instance that observes the start turning cold. Records of lower epochs are then ignored.
    std::uint64_t epoch{0};
    std::uint64_t completedRequests{0};

    bool operator==(const WarmUpProgressRecord &) const = default;
};

/// Whether a start of a target is warm. Key: start. The higher epoch wins; within an epoch warm wins. The record outlives the instances
/// whose requests warmed the target up.
struct WarmUpStateRecord {
    Core::TargetStartId start;
    std::uint64_t epoch{0};
    bool isWarm{false};

    bool operator==(const WarmUpStateRecord &) const = default;
};

/// A target that failed while running a request with this fingerprint. Key: fingerprint and target. The later expiry wins. Readers count
/// the distinct targets of a fingerprint.
struct QuarantineRecord {
    std::uint64_t fingerprint{0};
    Core::TargetId failedTarget;

    bool operator==(const QuarantineRecord &) const = default;
};

using Record = std::variant<RolloutProgressRecord, QuarantineRecord, WarmUpStateRecord, WarmUpProgressRecord, RequestStatsRecord>;

} // namespace Briarbend::Gossip
