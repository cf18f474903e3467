#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Which budget a message is charged to, and what it may carry besides. A class may use less of the control budget than those before it.
enum class MessageClass {
    /// Shows that this instance runs; carries news where the budget allows.
    Answer,
    /// Sections, rolloutProgress and the like that have just changed; not sent where there are none.
    Urgent,
    /// Urgent news for a peer that is known to lack it, sent as it is.
    Retransmission,
    /// Carries news where the budget allows.
    Probe,
    /// Comparisons and repairs, sent as they are.
    Background,
    /// Sent as it is, within the bulk budget.
    Bulk,
};

struct OutgoingEnvelope {
    Membership::PeerAddress to;
    Envelope envelope;
    MessageClass messageClass{MessageClass::Probe};
    /// The receiver's, where it has just told them: recent changes of the kinds that differ are sent again, however often they were sent.
    std::optional<Summaries> receiverSummaries;
};

/// Fills, encodes and charges one message. False where the budget refuses it or there is nothing to say.
bool dispatch(State &state, OutgoingEnvelope outgoing, Core::TimePoint now, Decision &decision);

/// Sends an exchange step to a peer.
bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision);

/// Sends the latest news to so many random peers out of turn.
void pushToRandomPeers(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision);

Summaries summariesOf(const State &state);

/// Sends recent changes of the kinds that differ. False where there are none, or no budget.
bool sendRecentChanges(State &state, const Membership::PeerAddress &to, const Summaries &theirs, Core::TimePoint now, Decision &decision);

/// Of the members that are not gone.
BucketDigests memberDigests(const State &state);

/// Messages of this instance that carry one version of a record.
std::uint32_t maxTransmissions(const State &state);

/// Seconds left, rounded down so that a record passed back and forth runs out.
std::chrono::seconds remainingTime(Core::TimePoint expires, Core::TimePoint now);

} // namespace Briarbend::Gossip
