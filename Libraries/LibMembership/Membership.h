#pragma once

#include <LibCore/Random.h>
#include <LibMembership/Message.h>
#include <LibMembership/State.h>

namespace Briarbend::Membership
{

/// The state of an instance that has just started: it knows itself and its seeds and is not confirmed.
State makeState(MemberUpdate self, std::set<PeerAddress> seeds, Core::TimePoint now);

struct Decision {
    std::vector<Outgoing> messages;
    std::vector<MemberChange> changes;
    /// Set when the message answered a ping that was sent after the last start or freeze.
    std::optional<Core::InstanceId> acknowledgingMember;
    /// This instance has just denied a false report about itself, which others should learn before they act on the report.
    bool hasRefuted{false};
};

/// Probes members, suspects the silent ones and drops those that do not refute. Call every TICK_INTERVAL.
Decision tick(State &state, Core::TimePoint now, Core::Random &random);

Decision receive(State &state, const Message &message, Core::TimePoint now);

/// Marks this instance as leaving. The returned goodbyes go to every known member, so that its work moves away at once.
Decision leave(State &state, Core::TimePoint now);

/// Takes the platform's lagging list of live instances as further seeds, in place of its previous one. It never removes a member that
/// answers; it only tells that a silent one will not come back.
void applyInstanceList(State &state, const std::set<PeerAddress> &live);

/// Takes a closed or refused connection as a reason to probe its member at the next tick.
void onPeerUnreachable(State &state, const PeerAddress &peer);

/// Withdraws a ping that could not be sent, so that its silence is held against nobody.
void cancelPing(State &state, const PeerAddress &peer);

/// Members, alive or suspect, that have certainly run; this instance among them unless it leaves. Sorted by identifier.
std::vector<Core::InstanceId> aliveMembers(const State &state);

/// How many aliveMembers returns.
std::size_t countAlive(const State &state);

/// Changes, but for a collision, whenever what aliveMembers returns or the width of a link changes.
std::size_t aliveFingerprint(const State &state);

/// Peer addresses of the members that are known, this instance left out.
std::vector<std::string> addressesOf(const State &state, const std::vector<Core::InstanceId> &members);

/// The table's row, or null.
const Member *find(const State &state, const Core::InstanceId &id);

/// True where more than half of all members ran within the window, this instance among them. Members that fell silent without goodbye
/// stay in the count for GONE_RETENTION, so that the smaller side of a cut does not take itself for the whole.
bool hasQuorum(const State &state, Core::Duration window, Core::TimePoint now);

/// False from a start or a freeze of this process until confirm. A freeze counts as soon as the process runs again, before its next tick.
bool isConfirmed(const State &state, Core::TimePoint now);

/// States that this instance has compared its soft state with a peer or the store since its last start or freeze.
void confirm(State &state, Core::TimePoint now);

/// Notices a freeze. Every entry point calls it first.
void observeTime(State &state, Core::TimePoint now);

/// The latest member news that have been sent least often; at most `count`, and each at most a few times the logarithm of the members.
std::vector<MemberUpdate> takeUpdates(State &state, std::size_t count);

/// At most `count` random members that have run and are neither leaving nor this instance.
std::vector<PeerAddress> randomPeers(const State &state, std::size_t count, Core::Random &random);

/// How often one piece of news is passed on by each instance, for so many members.
std::uint32_t transmissionLimit(std::size_t members);

/// Stands for a member in HeardAge.
std::uint32_t memberHash(const Core::InstanceId &id);

} // namespace Briarbend::Membership
