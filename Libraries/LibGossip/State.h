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
    /// Peers that hold it, the latest last.
    std::deque<Membership::PeerAddress> holders;
    Core::TimePoint requestedAt;
    bool isRequested{false};
};

/// A section that this instance holds.
struct HeldSection {
    SectionText section;
    /// The text that this one replaced, for sending only the difference.
    SectionText previous;
    Core::TimePoint changedAt;
    std::uint32_t transmissions{0};
};

struct SectionTable {
    std::map<Core::TeamName, HeldSection> held;
    std::map<Core::TeamName, PendingSection> pending;
    BucketDigests digests{};
};

/// Everything that one instance knows through gossip.
struct State {
    Membership::State members;
    SectionTable sections;
    Table<RolloutProgressRecord> rolloutProgress;
    Table<QuarantineRecord> quarantine;
    Table<WarmUpStateRecord> warmUpStates;
    Table<WarmUpProgressRecord> warmUpProgress;
    Table<RequestStatsRecord> requestStats;
    /// For heartbeats, news and digests.
    ByteBudget controlBudget{CONTROL_BYTES_PER_SECOND, CONTROL_BURST_BYTES};
    /// For whole section texts and the tables that a new instance starts from.
    ByteBudget bulkBudget{BULK_BYTES_PER_SECOND, BULK_BURST_BYTES};
    /// Ticks in which urgent news still goes to further peers out of turn.
    std::uint32_t remainingPushTicks{0};
    /// Whether a peer's tables have been asked for since the start.
    bool hasRequestedSnapshot{false};
    Core::TimePoint nextExpiry;
    /// Unconfirmed peers that hold the same sections, counted since `agreeingSince`.
    std::set<Core::InstanceId> agreeingPeers;
    Core::TimePoint agreeingSince;
};

} // namespace Briarbend::Gossip
