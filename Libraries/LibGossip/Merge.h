#pragma once

#include <LibGossip/Records.h>

#include <utility>

namespace Briarbend::Gossip
{

/// The key of each record kind, ordered.
const RolloutKey &keyOf(const VerdictRecord &record);
const EvidenceKey &keyOf(const EvidenceRecord &record);
const Core::TargetStartId &keyOf(const WarmUpStateRecord &record);

struct WarmthKey {
    Core::TargetStartId start;
    Core::InstanceId member;

    auto operator<=>(const WarmthKey &) const = default;
};
WarmthKey keyOf(const WarmthRecord &record);

struct QuarantineKey {
    std::uint64_t fingerprint{0};
    Core::TargetId brokenTarget;

    auto operator<=>(const QuarantineKey &) const = default;
};
QuarantineKey keyOf(const QuarantineRecord &record);

/// True where `incoming` replaces `held`, both of one key.
bool supersedes(const VerdictRecord &incoming, const VerdictRecord &held);
bool supersedes(const EvidenceRecord &incoming, const EvidenceRecord &held);
bool supersedes(const WarmthRecord &incoming, const WarmthRecord &held);
bool supersedes(const WarmUpStateRecord &incoming, const WarmUpStateRecord &held);
bool supersedes(const QuarantineRecord &incoming, const QuarantineRecord &held);

/// How long a record of the kind is kept after its latest change, unless the publisher says otherwise.
constexpr std::chrono::minutes VERDICT_RETENTION{24 * 60};
constexpr std::chrono::minutes EVIDENCE_RETENTION{10};
constexpr std::chrono::minutes WARMTH_RETENTION{2};
/// Whoever uses a start publishes its mark again within this time.
constexpr std::chrono::minutes WARM_MARK_RETENTION{6 * 60};
constexpr std::chrono::minutes QUARANTINE_RETENTION{10};

/// Longest time left that is believed of a peer.
constexpr std::chrono::minutes MAX_RETENTION{2 * 24 * 60};

Core::Duration retentionOf(const Record &record);

} // namespace Briarbend::Gossip
