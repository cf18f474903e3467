#pragma once

#include <LibMembership/Member.h>

#include <map>
#include <set>
#include <vector>

namespace Briarbend::Membership
{

/// The longest pause between two calls of tick. Callers tick every TICK_INTERVAL.
constexpr std::chrono::milliseconds TICK_INTERVAL{100};
/// Between two routine probes, each to one member.
constexpr std::chrono::milliseconds PROBE_INTERVAL{500};
/// Between two probes while this instance is not confirmed.
constexpr std::chrono::milliseconds UNCONFIRMED_PROBE_INTERVAL{200};
/// Silence after which peers are asked to probe as well.
constexpr std::chrono::milliseconds PING_TIMEOUT{250};
/// Silence after which a probed member is suspected.
constexpr std::chrono::milliseconds PROBE_TIMEOUT{750};
/// Time that a suspected member has to refute.
constexpr std::chrono::milliseconds SUSPICION_TIMEOUT{2000};
/// A member not heard for this long, here or through peers, is probed out of turn.
constexpr std::chrono::milliseconds SILENCE_THRESHOLD{3000};
/// Out-of-turn probes that may wait for an answer at once.
constexpr std::size_t MAX_OUT_OF_TURN_PROBES = 4;
/// A pause of the process above this makes its soft state suspect.
constexpr std::chrono::milliseconds FREEZE_LIMIT{1000};
/// Between two probes of a seed or a gone member's address, which let two halves find each other after a cut.
constexpr std::chrono::milliseconds SEED_INTERVAL{2000};
/// A new instance asks for the member table this often, for as long as JOIN_PERIOD: others may be starting with it.
constexpr std::chrono::milliseconds TABLE_REQUEST_INTERVAL{1000};
constexpr std::chrono::seconds JOIN_PERIOD{6};
/// How long a member that said goodbye is remembered as leaving.
constexpr std::chrono::seconds LEAVING_RETENTION{10};
/// How long a silent member stays in the count that a majority is taken of.
constexpr std::chrono::minutes GONE_RETENTION{10};

/// The longest time from a member's stop without goodbye to its being gone at every instance that can reach a peer, apart from the spread
/// of the news. Simultaneous failures queue for the MAX_OUT_OF_TURN_PROBES, one of which starts at a tick.
constexpr std::chrono::milliseconds detectionBound(std::size_t simultaneousFailures)
{
    const auto rounds = static_cast<std::int64_t>((simultaneousFailures + MAX_OUT_OF_TURN_PROBES - 1) / MAX_OUT_OF_TURN_PROBES);
    return SILENCE_THRESHOLD + TICK_INTERVAL + (PROBE_TIMEOUT + TICK_INTERVAL * MAX_OUT_OF_TURN_PROBES) * rounds + SUSPICION_TIMEOUT
        + TICK_INTERVAL;
}

struct PendingPing {
    PeerAddress to;
    /// Unknown when a seed is probed.
    std::optional<Core::InstanceId> expected;
    Core::TimePoint sentAt;
    bool isIndirectSent{false};
    /// Set when the probe is made for a peer: where and under which sequence to report.
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
    /// A member has to be probed without waiting for the next routine probe.
    bool isProbeDue{false};
    Core::TimePoint nextSeedProbe;
    Core::TimePoint startedAt;
    Core::TimePoint nextTableRequest;
    /// Last moment at which this process certainly ran.
    Core::TimePoint lastActive;
    bool isConfirmed{false};
    /// Told to peers with every message; set by whoever keeps the warmth of targets.
    bool isInformed{false};
    /// Pings sent before this moment confirm nothing.
    Core::TimePoint unconfirmedSince;
};

} // namespace Briarbend::Membership
