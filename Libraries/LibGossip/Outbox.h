#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Which budget a message is charged to, and what it may carry besides.
enum class MessageClass {
    /// May use the whole burst; carries news where the budget allows.
    Answer,
    /// May use the reserve of probes; carries news where the budget allows.
    Probe,
    /// Carries news, and is not sent where there is none.
    News,
    /// Sent as it is, within the control budget.
    Comparison,
    /// Sent as it is, within the bulk budget.
    Bulk,
};

struct Draft {
    Membership::PeerAddress to;
    Envelope envelope;
    MessageClass messageClass{MessageClass::Probe};
};

/// Fills, encodes and charges one message. False where the budget refuses it or there is nothing to say.
bool dispatch(State &state, Draft draft, Core::TimePoint now, Decision &decision);

/// Sends an exchange step to a peer.
bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision);

/// Sends the latest news to so many random peers out of turn.
void push(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision);

Summaries summariesOf(const State &state);

/// Of the members that are not gone.
BucketDigests memberDigests(const State &state);

/// Messages of this instance that carry one version of a record.
std::uint32_t newsLimit(const State &state);

/// Seconds left, rounded down so that a record passed back and forth runs out.
std::chrono::seconds remainingTime(Core::TimePoint expires, Core::TimePoint now);

} // namespace Briarbend::Gossip
