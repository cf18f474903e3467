#pragma once

#include <LibGossip/Codec.h>
#include <LibGossip/State.h>
#include <LibMembership/Membership.h>

namespace Briarbend::Gossip
{

/// An encoded message for one peer, already charged to its budget.
struct OutgoingMessage {
    Membership::PeerAddress to;
    std::string bytes;
};

/// Members, sections and records that changed at this instance.
struct Changes {
    std::vector<Membership::MemberChange> members;
    /// Each is newer than the version held before.
    std::vector<SectionText> sections;
    std::vector<Record> records;
};

/// The messages to send and the changes to apply after one step.
struct Decision {
    std::vector<OutgoingMessage> outgoingMessages;
    Changes changes;
};

/// Returns the state of an instance that has just started.
State makeState(Membership::MemberUpdate self, std::set<Membership::PeerAddress> seeds, Core::TimePoint now);

/// Sends due probes and retries and removes expired records. Call every Membership::TICK_INTERVAL.
Decision tick(State &state, Core::TimePoint now, Core::Random &random);

/// Processes one message from a peer. Throws MalformedMessage if it cannot be decoded; the state is then unchanged.
Decision receive(State &state, std::string_view bytes, Core::TimePoint now, Core::Random &random);

/// Applies a section that was read from the store or accepted by it, and pushes it to a few peers immediately. A version that is not newer
/// than the held one has no effect.
Decision publishSection(State &state, const SectionText &section, Core::TimePoint now, Core::Random &random);

/// Merges a record of this instance and gossips it: rollout progress, quarantine and warm-up state immediately, other kinds with the next
/// messages. A positive `retention` overrides the default of the record's kind.
Decision publish(State &state, const Record &record, Core::TimePoint now, Core::Random &random, Core::Duration retention = {});

/// Tells every member that this instance is leaving. Call once, when this instance stops accepting new work.
Decision leave(State &state, Core::TimePoint now);

/// Returns false from a start or a freeze of this process until a confirmed peer holds the same section versions or confirmWithStore is
/// called. An unconfirmed instance must not accept new work, because its soft state may be stale. If no confirmed peer is left, agreement
/// among a majority of the members confirms them.
bool isConfirmed(const State &state, Core::TimePoint now);

/// Confirms this instance. Call after every section has been read from the store.
void confirmWithStore(State &state, Core::TimePoint now);

/// Requests that a start of a target completed in its newest epoch, summed over all members.
std::uint64_t completedRequests(const State &state, const Core::TargetStartId &start);

/// The newest known epoch of a start; zero if none is known.
std::uint64_t warmUpEpoch(const State &state, const Core::TargetStartId &start);

/// Number of distinct targets that failed while running a request with this fingerprint.
std::size_t countFailedTargets(const State &state, std::uint64_t fingerprint);

} // namespace Briarbend::Gossip
