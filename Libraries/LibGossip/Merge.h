#pragma once

#include <LibGossip/Records.h>

#include <utility>

namespace Briarbend::Gossip
{

/// The key of each record kind, ordered.
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

/// True where `incoming` replaces `held`, both of one key.
bool supersedes(const RolloutProgressRecord &incoming, const RolloutProgressRecord &held);
bool supersedes(const RequestStatsRecord &incoming, const RequestStatsRecord &held);
bool supersedes(const WarmUpProgressRecord &incoming, const WarmUpProgressRecord &held);
bool supersedes(const WarmUpStateRecord &incoming, const WarmUpStateRecord &held);
bool supersedes(const QuarantineRecord &incoming, const QuarantineRecord &held);

/// How long a record of the kind is kept after its latest change, unless the publisher says otherwise.
constexpr std::chrono::minutes ROLLOUT_PROGRESS_RETENTION{24 * 60};
constexpr std::chrono::minutes REQUEST_STATS_RETENTION{10};
constexpr std::chrono::minutes WARM_UP_PROGRESS_RETENTION{2};
/// Whoever uses a start publishes its warmUpState again within this time.
constexpr std::chrono::minutes WARM_UP_STATE_RETENTION{6 * 60};
constexpr std::chrono::minutes QUARANTINE_RETENTION{10};

/// Longest time left that is believed of a peer.
constexpr std::chrono::minutes MAX_ACCEPTED_RETENTION{2 * 24 * 60};

Core::Duration retentionOf(const Record &record);

} // namespace Briarbend::Gossip
