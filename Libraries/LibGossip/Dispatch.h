#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Determines the budget that a message is charged to and what may be piggybacked on it. Classes are ordered by decreasing priority: each
/// may use no more of the control budget than the class before it.
enum class MessageClass {
    /// Shows peers that this instance is running. Piggybacks updates if the budget allows.
    Answer,
    /// Carries sections, rollout progress and other urgent records that have just changed. Not sent if there are none.
    Urgent,
    /// Urgent updates for a peer whose digests show that it lacks them, without piggybacked changes.
    Retransmission,
    /// Piggybacks updates if the budget allows.
    Probe,
    /// Anti-entropy comparisons and repairs, without piggybacked changes.
    Background,
    /// Charged to the bulk budget, without piggybacked changes.
    Bulk,
};

struct OutgoingEnvelope {
    Membership::PeerAddress to;
    Envelope envelope;
    MessageClass messageClass{MessageClass::Probe};
    /// The receiver's summaries, if it has just sent them. Recent changes of the kinds that differ are then sent again, regardless of their
    /// transmission count.
    std::optional<Summaries> receiverSummaries;
};

/// Adds piggybacked changes to one message, encodes it and charges it to its budget. Returns false if the budget refuses it or if there is
/// nothing to send.
bool dispatch(State &state, OutgoingEnvelope outgoing, Core::TimePoint now, Decision &decision);

/// Sends one exchange step to the peer.
bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision);

/// Sends the latest urgent updates to `peers` random peers, independently of the probe schedule.
void pushToRandomPeers(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision);

Summaries summariesOf(const State &state);

/// Sends the recent changes of the kinds whose summaries differ. Returns false if there are none or if the budget refuses the message.
bool sendRecentChanges(State &state, const Membership::PeerAddress &to, const Summaries &theirs, Core::TimePoint now, Decision &decision);

/// Digests of all members that are not gone.
BucketDigests memberDigests(const State &state);

/// Maximum number of messages in which this instance sends one version of a record.
std::uint32_t maxTransmissions(const State &state);

/// Returns the remaining lifetime in seconds, rounded down so that a record that peers pass back and forth still expires.
std::chrono::seconds remainingTime(Core::TimePoint expires, Core::TimePoint now);

} // namespace Briarbend::Gossip
