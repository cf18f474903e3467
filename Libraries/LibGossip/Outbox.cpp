#include <LibGossip/Outbox.h>

#include <LibGossip/Cargo.h>
#include <LibMembership/Table.h>

#include <algorithm>

namespace Briarbend::Gossip
{

namespace
{

/// Bytes of recent changes that are sent again at once.
constexpr std::size_t MAX_REPEATED_BYTES = 500;

/// Tokens of the control budget that the class leaves to the classes before it.
std::size_t reserveOf(MessageClass messageClass)
{
    switch (messageClass) {
    case MessageClass::Answer:
    case MessageClass::Bulk:
        return 0;
    case MessageClass::Urgent:
    case MessageClass::Repeated:
        return ANSWER_RESERVE_BYTES;
    case MessageClass::Probe:
        return ANSWER_RESERVE_BYTES + URGENT_RESERVE_BYTES;
    case MessageClass::Background:
        break;
    }
    return ANSWER_RESERVE_BYTES + URGENT_RESERVE_BYTES + PROBE_RESERVE_BYTES;
}

/// What the message may carry besides: urgent ones only what is urgent, the others whatever the background may use.
Cargo fillWithin(State &state, const Draft &draft, Core::TimePoint now, Envelope &envelope)
{
    constexpr std::array SENT_AS_IT_IS{MessageClass::Repeated, MessageClass::Background, MessageClass::Bulk};
    if (std::ranges::find(SENT_AS_IT_IS, draft.messageClass) != SENT_AS_IT_IS.end()) {
        return {};
    }
    const bool isUrgent = draft.messageClass == MessageClass::Urgent;
    auto selection = selectionFor(state, draft.theirSummaries, now);
    selection.isUrgentOnly = isUrgent;
    const auto base = encode(envelope).size() + MESSAGE_OVERHEAD_BYTES;
    const auto available = state.controlBudget.available(reserveOf(isUrgent ? MessageClass::Urgent : MessageClass::Background), now);
    return available <= base ? Cargo{} : fill(state, selection, available - base, envelope);
}

bool isEmpty(const Envelope &envelope)
{
    return envelope.membership.news.empty() && envelope.sections.empty() && envelope.records.empty();
}

} // namespace

bool dispatch(State &state, Draft draft, Core::TimePoint now, Decision &decision)
{
    auto &envelope = draft.envelope;
    envelope.summaries = summariesOf(state);
    const auto cargo = fillWithin(state, draft, now, envelope);
    if (draft.messageClass == MessageClass::Urgent && isEmpty(envelope)) {
        return false;
    }
    auto bytes = encode(envelope);
    const auto size = bytes.size() + MESSAGE_OVERHEAD_BYTES;
    auto &budget = draft.messageClass == MessageClass::Bulk ? state.bulkBudget : state.controlBudget;
    if (!budget.tryTake(size, reserveOf(draft.messageClass), now)) {
        return false;
    }
    countTransmissions(cargo);
    decision.outgoingMessages.push_back({std::move(draft.to), std::move(bytes)});
    return true;
}

bool sendRecentChanges(State &state, const Membership::PeerAddress &to, const Summaries &theirs, Core::TimePoint now, Decision &decision)
{
    auto selection = selectionFor(state, theirs, now);
    selection.transmissionLimit = 0;
    Envelope envelope;
    envelope.membership = Membership::makeMessage(state.members, std::monostate{});
    fill(state, selection, MAX_REPEATED_BYTES, envelope);
    return !isEmpty(envelope) && dispatch(state, {to, std::move(envelope), MessageClass::Repeated, std::nullopt}, now, decision);
}

bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision)
{
    Envelope envelope;
    envelope.membership = Membership::makeMessage(state.members, std::monostate{});
    envelope.exchange = std::move(exchange);
    return dispatch(state, {to, std::move(envelope), messageClass, std::nullopt}, now, decision);
}

void push(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision)
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
            summaryOf(state.verdicts.digests),
            summaryOf(state.quarantine.digests),
            summaryOf(state.warmMarks.digests)};
}

BucketDigests memberDigests(const State &state)
{
    BucketDigests digests{};
    for (const auto &[id, member] : state.members.members) {
        if (member.news.state != Membership::MemberState::Gone) {
            toggle(digests, digestOf(member.news));
        }
    }
    return digests;
}

std::chrono::seconds remainingTime(Core::TimePoint expires, Core::TimePoint now)
{
    return std::chrono::floor<std::chrono::seconds>(std::max(expires - now, Core::Duration{0}));
}

std::uint32_t newsLimit(const State &state)
{
    return Membership::transmissionLimit(state.members.members.size());
}

} // namespace Briarbend::Gossip
