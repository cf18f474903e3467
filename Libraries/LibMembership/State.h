#pragma once

#include <LibMembership/Member.h>

#include <map>
#include <set>
#include <vector>

namespace Briarbend::Membership
{

/// Longest interval between two calls of tick. Callers call it every TICK_INTERVAL.
constexpr std::chrono::milliseconds TICK_INTERVAL{100};
/// Interval between routine probes, each of one member.
constexpr std::chrono::milliseconds PROBE_INTERVAL{500};
/// Interval between probes while this instance is not confirmed.
constexpr std::chrono::milliseconds UNCONFIRMED_PROBE_INTERVAL{200};
/// Time without an acknowledgement after which peers are asked to probe as well.
constexpr std::chrono::milliseconds PING_TIMEOUT{250};
/// Time without an acknowledgement after which a probed member is suspected.
constexpr std::chrono::milliseconds PROBE_TIMEOUT{750};
/// Time that a suspected member has to refute the suspicion.
constexpr std::chrono::milliseconds SUSPICION_TIMEOUT{2000};
/// A member that neither this instance nor its peers have heard for this long is probed out of turn.
constexpr std::chrono::milliseconds SILENCE_THRESHOLD{3000};
/// The threshold is at least this long for each member. Messages tell of a fixed number of members, so that among many each is heard less
/// often.
constexpr std::chrono::milliseconds SILENCE_THRESHOLD_PER_MEMBER{25};
/// Maximum number of out-of-turn probes that wait for an acknowledgement.
constexpr std::size_t MAX_OUT_OF_TURN_PROBES = 4;
/// A pause of the process above this counts as a freeze: its soft state may be stale.
constexpr std::chrono::milliseconds FREEZE_LIMIT{1000};
/// Interval between probes of a seed or of a gone member's address, by which two sides find each other after a network partition.
constexpr std::chrono::milliseconds SEED_INTERVAL{2000};
/// A new instance requests the member table at this interval during JOIN_PERIOD, because others may be starting at the same time, and then
/// until a reply holds no member that it does not know.
constexpr std::chrono::milliseconds TABLE_REQUEST_INTERVAL{1000};
constexpr std::chrono::seconds JOIN_PERIOD{6};
/// How long a member that announced its leaving is kept as leaving.
constexpr std::chrono::seconds LEAVING_RETENTION{10};
/// How long a failed member stays in the count of which hasQuorum requires a majority.
constexpr std::chrono::minutes GONE_RETENTION{10};

/// Longest time from a member's failure until it is gone at every instance that can reach a peer, without the time for disseminating the
/// update, among at most SILENCE_THRESHOLD / SILENCE_THRESHOLD_PER_MEMBER members. Simultaneous failures queue for the
/// MAX_OUT_OF_TURN_PROBES, one of which starts at each tick.
constexpr std::chrono::milliseconds detectionBound(std::size_t simultaneousFailures)
{
    const auto rounds = static_cast<std::int64_t>((simultaneousFailures + MAX_OUT_OF_TURN_PROBES - 1) / MAX_OUT_OF_TURN_PROBES);
    return SILENCE_THRESHOLD + TICK_INTERVAL + (PROBE_TIMEOUT + TICK_INTERVAL * MAX_OUT_OF_TURN_PROBES) * rounds + SUSPICION_TIMEOUT
        + TICK_INTERVAL;
}

struct PendingPing {
    PeerAddress to;
    /// Not set when a seed is probed, whose identifier is unknown.
    std::optional<Core::InstanceId> expected;
    Core::TimePoint sentAt;
    bool isIndirectSent{false};
    /// The ping requests the member table.
    bool wantsMembers{false};
    /// Set when the probe is made for a peer: the address and the sequence number for the IndirectAcknowledgement.
    std::optional<PeerAddress> requester;
    std::uint64_t requesterSequence{0};
};

struct State {
    Core::InstanceId self;
    /// Includes this instance.
    std::map<Core::InstanceId, Member> members;
    /// From the settings.
    std::set<PeerAddress> seeds;
    /// From the platform's latest list of live instances.
    std::set<PeerAddress> listed;
    std::map<std::uint64_t, PendingPing> pendingPings;
    std::vector<Core::InstanceId> probeOrder;
    std::uint64_t nextSequence{1};
    Core::TimePoint nextProbe;
    /// True where a member is to be probed without waiting for the next routine probe.
    bool isProbeDue{false};
    Core::TimePoint nextSeedProbe;
    Core::TimePoint startedAt;
    Core::TimePoint nextTableRequest;
    /// The last reply to a request for the member table held no unknown member.
    bool hasWholeTable{false};
    /// Last time at which this process certainly ran.
    Core::TimePoint lastActive;
    bool isConfirmed{false};
    /// Sent to peers with every message. Set by the component that tracks the warm-up of targets.
    bool isInformed{false};
    /// Acknowledgements of pings sent before this time do not confirm this instance.
    Core::TimePoint unconfirmedSince;
};

} // namespace Briarbend::Membership
