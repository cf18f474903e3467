#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <string>
#include <variant>

/// Records that instances spread among themselves. Each kind has a key and a merge rule that is commutative, associative and idempotent,
/// so that order, repetition and loss of messages do not matter.
namespace Briarbend::Gossip
{

/// One team's section as the store accepted it. Key: team. The highest store version wins; a lower one never replaces it.
struct SectionText {
    Core::TeamName team;
    std::uint64_t storeVersion{0};
    /// TOML; empty where the team removed its section.
    std::string text;

    bool operator==(const SectionText &) const = default;
};

enum class RolloutPhase : std::uint8_t {
    Running,
    Done,
    RolledBack,
};

/// One move of traffic, told apart from an earlier one between the same versions by its start.
struct RolloutKey {
    Core::ServiceName service;
    Core::VersionName from;
    Core::VersionName to;
    Core::WallTime start;

    auto operator<=>(const RolloutKey &) const = default;
};

/// How far a rollout has come. Taken back absorbs everything; otherwise done beats running and the further step wins.
struct RolloutProgressRecord {
    RolloutKey rollout;
    RolloutPhase phase{RolloutPhase::Running};
    std::uint32_t step{0};

    bool operator==(const RolloutProgressRecord &) const = default;
};

/// Buckets of the latency histogram in an RequestStatsRecord.
constexpr std::size_t LATENCY_HISTOGRAM_BUCKETS = 12;

/// One version on one route at one level of load.
struct RequestStatsScope {
    Core::ServiceName service;
    Core::VersionName version;
    std::string routePrefix;
    std::uint8_t loadBucket{0};

    auto operator<=>(const RequestStatsScope &) const = default;
};

/// What one instance saw of a scope. Ordered by scope first, so that the fleet's requestStats of one scope stands together.
struct RequestStatsKey {
    RequestStatsScope scope;
    /// Membership::memberHash of the publishing instance.
    std::uint32_t member{0};

    auto operator<=>(const RequestStatsKey &) const = default;
};

/// Running totals of one instance; the sum over all members is the fleet's requestStats. Key: RequestStatsKey. The member's newest totals
/// replace older ones.
struct RequestStatsRecord {
    RequestStatsKey key;
    /// Raised by the member with every publication.
    std::uint64_t sequence{0};
    std::uint64_t requests{0};
    std::uint64_t failures{0};
    /// Requests by latency; the bounds belong to whoever publishes and reads.
    std::array<std::uint32_t, LATENCY_HISTOGRAM_BUCKETS> latencyCounts{};

    bool operator==(const RequestStatsRecord &) const = default;
};

/// Completed requests that one instance adds to the warmUpProgress of one start of a target. Key: start and member. The higher epoch wins,
/// then the higher count.
struct WarmUpProgressRecord {
    Core::TargetStartId start;
    Core::InstanceId member;
    /// Raised by whoever sees the start turn cold; records of lower epochs no longer count.
    std::uint64_t epoch{0};
    std::uint64_t completedRequests{0};

    bool operator==(const WarmUpProgressRecord &) const = default;
};

/// Whether a start of a target is warm. Key: start. The higher epoch wins; within an epoch warm wins. Outlives the instances that earned
/// it.
struct WarmUpStateRecord {
    Core::TargetStartId start;
    std::uint64_t epoch{0};
    bool isWarm{false};

    bool operator==(const WarmUpStateRecord &) const = default;
};

/// A target that broke while it ran the request with this fingerprint. Key: fingerprint and target. The later expiry wins. The reader
/// counts the distinct targets of a fingerprint.
struct QuarantineRecord {
    std::uint64_t fingerprint{0};
    Core::TargetId failedTarget;

    bool operator==(const QuarantineRecord &) const = default;
};

using Record = std::variant<RolloutProgressRecord, QuarantineRecord, WarmUpStateRecord, WarmUpProgressRecord, RequestStatsRecord>;

} // namespace Briarbend::Gossip
