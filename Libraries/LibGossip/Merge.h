#pragma once

#include <LibGossip/Records.h>

#include <utility>

namespace Briarbend::Gossip
{

/// Returns the key of a record. Keys of each kind are ordered.
const RolloutKey &keyOf(const RolloutProgressRecord &record);
const RequestStatsKey &keyOf(const RequestStatsRecord &record);
const Core::TargetStartId &keyOf(const WarmUpStateRecord &record);

struct WarmUpProgressKey {
    Core::TargetStartId start;
    Core::InstanceId member;

    auto operator<=>(const WarmUpProgressKey &) const = default;
};
WarmUpProgressKey keyOf(const WarmUpProgressRecord &record);

struct QuarantineKey {
    std::uint64_t fingerprint{0};
    Core::TargetId failedTarget;

    auto operator<=>(const QuarantineKey &) const = default;
};
QuarantineKey keyOf(const QuarantineRecord &record);

/// Returns true if `incoming` replaces `held`. Both must have the same key.
bool supersedes(const RolloutProgressRecord &incoming, const RolloutProgressRecord &held);
bool supersedes(const RequestStatsRecord &incoming, const RequestStatsRecord &held);
bool supersedes(const WarmUpProgressRecord &incoming, const WarmUpProgressRecord &held);
bool supersedes(const WarmUpStateRecord &incoming, const WarmUpStateRecord &held);
bool supersedes(const QuarantineRecord &incoming, const QuarantineRecord &held);

/// How long a record of each kind is kept after its latest change, unless the publisher specifies another retention.
constexpr std::chrono::minutes ROLLOUT_PROGRESS_RETENTION{24 * 60};
constexpr std::chrono::minutes REQUEST_STATS_RETENTION{10};
constexpr std::chrono::minutes WARM_UP_PROGRESS_RETENTION{2};
/// Instances that use a start of a target must republish its warm-up state within this time.
constexpr std::chrono::minutes WARM_UP_STATE_RETENTION{6 * 60};
constexpr std::chrono::minutes QUARANTINE_RETENTION{10};

/// Upper bound on the remaining lifetime that is accepted from a peer.
constexpr std::chrono::minutes MAX_ACCEPTED_RETENTION{2 * 24 * 60};

Core::Duration retentionOf(const Record &record);

} // namespace Briarbend::Gossip
