#pragma once

#include <LibGossip/Codec.h>
#include <LibGossip/State.h>
#include <LibMembership/Membership.h>

namespace Briarbend::Gossip
{

/// Bytes for one peer, already charged to the budget.
struct OutgoingMessage {
    Membership::PeerAddress to;
    std::string bytes;
};

/// What is new to this instance.
struct Changes {
    std::vector<Membership::MemberChange> members;
    /// Always newer than what was held before.
    std::vector<SectionText> sections;
    std::vector<Record> records;
};

struct Decision {
    std::vector<OutgoingMessage> outgoingMessages;
    Changes changes;
};

/// The state of an instance that has just started.
State makeState(Membership::MemberNews self, std::set<Membership::PeerAddress> seeds, Core::TimePoint now);

/// Call every Membership::TICK_INTERVAL.
Decision tick(State &state, Core::TimePoint now, Core::Random &random);

/// Throws MalformedMessage; the message is then dropped and the state unchanged.
Decision receive(State &state, std::string_view bytes, Core::TimePoint now, Core::Random &random);

/// Takes in a section read from the store, or accepted by it, and sends it to a few peers at once. A version that is not newer changes
/// nothing.
Decision publishSection(State &state, const SectionText &section, Core::TimePoint now, Core::Random &random);

/// Takes in a record of this instance and spreads it; rolloutProgress, quarantine and warm states at once, the others with the next
/// messages. `retention` replaces the kind's own where it is positive.
Decision publish(State &state, const Record &record, Core::TimePoint now, Core::Random &random, Core::Duration retention = {});

/// Says goodbye to every member. Call once, when this instance stops taking new work.
Decision leave(State &state, Core::TimePoint now);

/// False from a start or a freeze until a confirmed peer holds the same section versions, or confirmWithStore. An unconfirmed instance
/// must take no new work: its soft state may be stale. Where no confirmed peer is left, a majority of members in agreement will do.
bool isConfirmed(const State &state, Core::TimePoint now);

/// States that every section was just read from the store.
void confirmWithStore(State &state, Core::TimePoint now);

/// Completed requests of a start in its newest epoch, summed over members.
std::uint64_t completedRequests(const State &state, const Core::TargetStartId &start);

/// The newest epoch known of a start; zero where none is.
std::uint64_t warmUpEpoch(const State &state, const Core::TargetStartId &start);

/// Distinct targets that broke under a request with this fingerprint.
std::size_t countFailedTargets(const State &state, std::uint64_t fingerprint);

} // namespace Briarbend::Gossip
