#pragma once

#include <LibCore/Random.h>
#include <LibMembership/Message.h>
#include <LibMembership/State.h>

namespace Briarbend::Membership
{

/// The state of an instance that has just started: it knows itself and its seeds and is not confirmed.
State makeState(MemberUpdate self, std::set<PeerAddress> seeds, Core::TimePoint now);

/// The messages to send and the changes to report after an event.
struct Decision {
    std::vector<Outgoing> messages;
    std::vector<MemberChange> changes;
    /// The sender, if its message acknowledged a ping that was sent after the last start or freeze.
    std::optional<Core::InstanceId> acknowledgingMember;
    /// True where this instance has just refuted a false report about itself. Others should learn of it before they act on the report.
    bool hasRefuted{false};
};

/// Probes members, suspects the silent ones and drops those that do not refute. Call every TICK_INTERVAL.
Decision tick(State &state, Core::TimePoint now, Core::Random &random);

Decision receive(State &state, const Message &message, Core::TimePoint now);

/// Marks this instance as leaving. The returned messages announce it to every known member that is not gone, so that its work moves away at
/// once.
Decision leave(State &state, Core::TimePoint now);

/// Replaces the platform's list of live instances, which lags behind and serves as further seeds. It never removes a member that
/// acknowledges probes; it only shows that a member that is gone will not come back.
void applyInstanceList(State &state, const std::set<PeerAddress> &live);

/// Schedules a probe of the peer for the next tick after its connection was closed or refused.
void onPeerUnreachable(State &state, const PeerAddress &peer);

/// Cancels the pending pings to a peer that could not be sent, so that no member is suspected because of them.
void cancelPing(State &state, const PeerAddress &peer);

/// False in a new instance until a peer has told it of all members, or nobody has answered during JOIN_PERIOD.
bool hasJoined(const State &state, Core::TimePoint now);

/// Members that are alive or suspect and have been heard, including this instance unless it leaves. Sorted by identifier.
std::vector<Core::InstanceId> aliveMembers(const State &state);

/// Number of members that aliveMembers returns.
std::size_t countAlive(const State &state);

/// A hash over aliveMembers and their link bandwidths. It changes whenever these change, except for a collision.
std::size_t aliveFingerprint(const State &state);

/// The candidates in the order in which they take work that grows with the number of instances: those with the widest links first, in
/// rendezvous hash order for the key among equals. Hosts with wider links have more processor time as well.
std::vector<Core::InstanceId> widestFirst(const State &state, const std::vector<Core::InstanceId> &candidates, std::string_view key);

/// Peer addresses of those of the members that are known, without this instance.
std::vector<std::string> addressesOf(const State &state, const std::vector<Core::InstanceId> &members);

/// Peer address of the live member that comes up at this turn: the one that follows this instance at the first turn, then the next, in
/// cyclic order. Instances that take their turns at the same pace each contact a different member. Nothing if there is no other member.
std::optional<std::string> peerInTurn(const State &state, std::size_t turn);

/// Returns the member's row of the table, or null.
const Member *find(const State &state, const Core::InstanceId &id);

/// True where more than half of all members, including this instance, certainly ran within the window. Members that failed without leaving
/// stay in the count for GONE_RETENTION, so that the smaller side of a network partition does not take itself for a majority.
bool hasQuorum(const State &state, Core::Duration window, Core::TimePoint now);

/// False from a start or a freeze of this process until confirm is called. A freeze counts as soon as the process runs again, before its
/// next tick.
bool isConfirmed(const State &state, Core::TimePoint now);

/// Call this when the instance has compared its soft state with a peer or the store since its last start or freeze.
void confirm(State &state, Core::TimePoint now);

/// Detects a freeze of this process. Every entry point calls it first.
void observeTime(State &state, Core::TimePoint now);

/// Returns at most `count` updates to piggyback, those sent least often first, and counts their transmission. Each update is sent at most
/// transmissionLimit times.
std::vector<MemberUpdate> takeUpdates(State &state, std::size_t count);

/// Returns the addresses of at most `count` random members that have been heard and are alive or suspect, without this instance.
std::vector<PeerAddress> randomPeers(const State &state, std::size_t count, Core::Random &random);

/// Number of times that each instance transmits one update, for this number of members. Grows with their logarithm.
std::uint32_t transmissionLimit(std::size_t members);

/// Identifies a member in HeardAge.
std::uint32_t memberHash(const Core::InstanceId &id);

} // namespace Briarbend::Membership
