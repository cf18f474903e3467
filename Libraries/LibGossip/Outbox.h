#pragma once

#include <LibGossip/Gossip.h>

namespace Briarbend::Gossip
{

/// Which budget a message is charged to, and what it may carry besides.
enum class MessageClass {
    /// May use the reserve; carries news where the budget allows.
    Heartbeat,
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
    MessageClass messageClass{MessageClass::Heartbeat};
};

/// Fills, encodes and charges one message. False where the budget refuses it or there is nothing to say.
bool dispatch(State &state, Draft draft, Core::TimePoint now, Decision &decision);

/// Sends an exchange step to a peer.
bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision);

/// Sends the latest news to so many random peers out of turn.
void push(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision);

Summaries summariesOf(const State &state);

/// Messages of this instance that carry one version of a record.
std::uint32_t newsLimit(const State &state);

/// Seconds left, rounded down so that a record passed back and forth runs out.
std::chrono::seconds remainingTime(Core::TimePoint expires, Core::TimePoint now);

} // namespace Briarbend::Gossip
