#include <LibGossip/Dispatch.h>

#include <LibGossip/Piggyback.h>
#include <LibMembership/Table.h>

#include <algorithm>

namespace Briarbend::Gossip
{

namespace
{

/// Maximum size of the recent changes in one retransmission.
constexpr std::size_t MAX_RETRANSMITTED_BYTES = 500;

/// Tokens of the control budget that a message of this class must leave for the classes with higher priority.
std::size_t reservedBytesFor(MessageClass messageClass)
{
    switch (messageClass) {
    case MessageClass::Answer:
    case MessageClass::Bulk:
        return 0;
    case MessageClass::Urgent:
    case MessageClass::Retransmission:
        return ANSWER_RESERVE_BYTES;
    case MessageClass::Probe:
        return ANSWER_RESERVE_BYTES + URGENT_RESERVE_BYTES;
    case MessageClass::Background:
        break;
    }
    return ANSWER_RESERVE_BYTES + URGENT_RESERVE_BYTES + PROBE_RESERVE_BYTES;
}

/// Piggybacks changes: only urgent ones on an urgent message, and on other messages whatever the budget leaves for background traffic.
PiggybackedItems piggybackWithinBudget(State &state, const OutgoingEnvelope &outgoing, Core::TimePoint now, Envelope &envelope)
{
    constexpr std::array WITHOUT_PIGGYBACK{MessageClass::Retransmission, MessageClass::Background, MessageClass::Bulk};
    if (std::ranges::find(WITHOUT_PIGGYBACK, outgoing.messageClass) != WITHOUT_PIGGYBACK.end()) {
        return {};
    }
    const bool isUrgent = outgoing.messageClass == MessageClass::Urgent;
    auto filter = filterFor(state, outgoing.receiverSummaries, now);
    filter.isUrgentOnly = isUrgent;
    const auto base = encode(envelope).size() + MESSAGE_OVERHEAD_BYTES;
    const auto available = state.controlBudget.available(reservedBytesFor(isUrgent ? MessageClass::Urgent : MessageClass::Background), now);
    return available <= base ? PiggybackedItems{} : piggyback(state, filter, available - base, envelope);
}

bool isEmpty(const Envelope &envelope)
{
    return envelope.membership.updates.empty() && envelope.sections.empty() && envelope.records.empty();
}

} // namespace

bool dispatch(State &state, OutgoingEnvelope outgoing, Core::TimePoint now, Decision &decision)
{
    auto &envelope = outgoing.envelope;
    envelope.summaries = summariesOf(state);
    const auto piggybacked = piggybackWithinBudget(state, outgoing, now, envelope);
    if (outgoing.messageClass == MessageClass::Urgent && isEmpty(envelope)) {
        return false;
    }
    auto bytes = encode(envelope);
    const auto size = bytes.size() + MESSAGE_OVERHEAD_BYTES;
    auto &budget = outgoing.messageClass == MessageClass::Bulk ? state.bulkBudget : state.controlBudget;
    if (!budget.tryConsume(size, reservedBytesFor(outgoing.messageClass), now)) {
        return false;
    }
    countTransmissions(piggybacked);
    decision.outgoingMessages.push_back({std::move(outgoing.to), std::move(bytes)});
    return true;
}

bool sendRecentChanges(State &state, const Membership::PeerAddress &to, const Summaries &theirs, Core::TimePoint now, Decision &decision)
{
    auto filter = filterFor(state, theirs, now);
    filter.transmissionLimit = 0;
    Envelope envelope;
    envelope.membership = Membership::makeMessage(state.members, std::monostate{});
    piggyback(state, filter, MAX_RETRANSMITTED_BYTES, envelope);
    return !isEmpty(envelope) && dispatch(state, {to, std::move(envelope), MessageClass::Retransmission, std::nullopt}, now, decision);
}

bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision)
{
    Envelope envelope;
    envelope.membership = Membership::makeMessage(state.members, std::monostate{});
    envelope.exchange = std::move(exchange);
    return dispatch(state, {to, std::move(envelope), messageClass, std::nullopt}, now, decision);
}

void pushToRandomPeers(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    for (auto &peer : Membership::randomPeers(state.members, peers, random)) {
        Envelope envelope;
        envelope.membership = Membership::makeMessage(state.members, std::monostate{});
        dispatch(state, {std::move(peer), std::move(envelope), MessageClass::Urgent, std::nullopt}, now, decision);
    }
}

Summaries summariesOf(const State &state)
{
    return {summaryOf(memberDigests(state)),
            summaryOf(state.sections.digests),
            summaryOf(state.rolloutProgress.digests),
            summaryOf(state.quarantine.digests),
            summaryOf(state.warmUpStates.digests)};
}

BucketDigests memberDigests(const State &state)
{
    BucketDigests digests{};
    for (const auto &[id, member] : state.members.members) {
        if (member.update.state != Membership::MemberState::Gone) {
            toggle(digests, digestOf(member.update));
        }
    }
    return digests;
}

std::chrono::seconds remainingTime(Core::TimePoint expires, Core::TimePoint now)
{
    return std::chrono::floor<std::chrono::seconds>(std::max(expires - now, Core::Duration{0}));
}

std::uint32_t maxTransmissions(const State &state)
{
    return Membership::transmissionLimit(state.members.members.size());
}

} // namespace Briarbend::Gossip
