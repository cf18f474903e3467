#pragma once

#include <LibGossip/ByteBudget.h>
#include <LibGossip/Table.h>
#include <LibMembership/State.h>

#include <deque>
#include <set>
#include <vector>

namespace Briarbend::Gossip
{

/// A newer version of a section that a peer announced and this instance does not hold yet.
struct PendingSection {
    std::uint64_t storeVersion{0};
    /// Peers that announced it, most recent last.
    std::deque<Membership::PeerAddress> holders;
    Core::TimePoint requestedAt;
    bool isRequested{false};
};

/// A section that this instance holds.
struct HeldSection {
    SectionText section;
    /// The version that this one replaced, from which the delta is computed.
    SectionText previous;
    Core::TimePoint changedAt;
    std::uint32_t transmissions{0};
};

struct SectionTable {
    std::map<Core::TeamName, HeldSection> held;
    std::map<Core::TeamName, PendingSection> pending;
    BucketDigests digests{};
};

/// The gossip state of one instance.
struct State {
    Membership::State members;
    SectionTable sections;
    Table<RolloutProgressRecord> rolloutProgress;
    Table<QuarantineRecord> quarantine;
    Table<WarmUpStateRecord> warmUpStates;
    Table<WarmUpProgressRecord> warmUpProgress;
    Table<RequestStatsRecord> requestStats;
    /// For probes, acknowledgements, updates and digests.
    ByteBudget controlBudget{CONTROL_BYTES_PER_SECOND, CONTROL_BURST_BYTES};
    /// For complete section texts and the tables that a new instance receives.
    ByteBudget bulkBudget{BULK_BYTES_PER_SECOND, BULK_BURST_BYTES};
    /// Number of ticks in which urgent updates are still pushed to further peers.
    std::uint32_t remainingPushTicks{0};
    /// Whether a snapshot has been requested from a peer since the start.
    bool hasRequestedSnapshot{false};
    Core::TimePoint nextExpiry;
    /// Peers found to hold the same sections since `agreeingSince`, while this instance is unconfirmed.
    std::set<Core::InstanceId> agreeingPeers;
    Core::TimePoint agreeingSince;
};

} // namespace Briarbend::Gossip
