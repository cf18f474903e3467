#include <LibGossip/Gossip.h>

#include <LibGossip/AntiEntropy.h>
#include <LibGossip/Dispatch.h>
#include <LibGossip/Sections.h>
#include <LibGossip/Tables.h>
#include <LibMembership/Table.h>

#include <algorithm>

namespace Briarbend::Gossip
{

namespace
{

/// Number of peers that urgent updates are pushed to immediately, and in each of the following REPEATED_PUSH_TICKS ticks.
constexpr std::size_t PUSH_FANOUT = 3;
constexpr std::size_t REPEATED_PUSH_FANOUT = 1;
constexpr std::uint32_t REPEATED_PUSH_TICKS = 4;
constexpr std::chrono::seconds EXPIRY_INTERVAL{1};

/// Merges the record and adds it to the changes if it was new or replaced the held one.
bool mergeRecord(State &state, const Record &record, Core::TimePoint expires, Core::TimePoint now, Changes &changes)
{
    const bool isChanged = std::visit(
        [&](const auto &typed) {
            return merge(tableFor(state, typed), typed, expires, now);
        },
        record);
    if (isChanged) {
        changes.records.push_back(record);
    }
    return isChanged;
}

void pushUrgent(State &state, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    state.remainingPushTicks = REPEATED_PUSH_TICKS;
    pushToRandomPeers(state, PUSH_FANOUT, now, random, decision);
}

/// Probes of an unconfirmed instance get the highest priority, because it accepts no new work until one of them is answered.
MessageClass classOf(const Membership::Message &message)
{
    // Only the member table for a new instance exceeds this number.
    constexpr std::size_t MAX_ROUTINE_MEMBER_UPDATES = 4;
    if (message.updates.size() > MAX_ROUTINE_MEMBER_UPDATES) {
        return MessageClass::Bulk;
    }
    if (std::holds_alternative<Membership::PingRequest>(message.body)) {
        return MessageClass::Background;
    }
    const bool isRoutineProbe = std::holds_alternative<Membership::Ping>(message.body) && message.isConfirmed;
    return isRoutineProbe ? MessageClass::Probe : MessageClass::Answer;
}

/// If the budget refuses an acknowledgement, retries without its ages and member news, which still shows that this instance is running.
/// A refused ping is cancelled.
void sendMembershipMessage(
    State &state, Membership::Outgoing outgoing, const std::optional<Summaries> &theirs, Core::TimePoint now, Decision &decision)
{
    const auto messageClass = classOf(outgoing.message);
    Envelope envelope;
    envelope.membership = outgoing.message;
    if (dispatch(state, {outgoing.to, std::move(envelope), messageClass, theirs}, now, decision)) {
        return;
    }
    if (std::holds_alternative<Membership::Ping>(outgoing.message.body)) {
        Membership::cancelPing(state.members, outgoing.to);
        return;
    }
    if (auto *acknowledgement = std::get_if<Membership::Acknowledgement>(&outgoing.message.body)) {
        acknowledgement->ages.clear();
        Envelope bare;
        bare.membership = std::move(outgoing.message);
        bare.membership.updates.clear();
        dispatch(state, {std::move(outgoing.to), std::move(bare), MessageClass::Answer, std::nullopt}, now, decision);
    }
}

void sendMembershipMessages(State &state,
                            std::vector<Membership::Outgoing> messages,
                            const std::optional<Summaries> &theirs,
                            Core::TimePoint now,
                            Decision &decision)
{
    for (auto &outgoing : messages) {
        sendMembershipMessage(state, std::move(outgoing), theirs, now, decision);
    }
}

void resetAgreeingPeers(State &state)
{
    if (state.agreeingSince != state.members.unconfirmedSince) {
        state.agreeingSince = state.members.unconfirmedSince;
        state.agreeingPeers.clear();
    }
}

/// Compares state with a peer that has just answered a ping from this instance, and confirms this instance if their sections agree.
void compareWithSender(State &state, const Envelope &envelope, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    const auto &sender = envelope.membership.sender;
    constexpr auto SECTIONS = static_cast<std::size_t>(DigestKind::Sections);
    const bool isSame = envelope.summaries.at(SECTIONS) == summaryOf(state.sections.digests);
    if (!state.members.isConfirmed && isSame) {
        state.agreeingPeers.insert(sender.id);
        const auto members = Membership::countAlive(state.members);
        if (envelope.membership.isConfirmed || (state.agreeingPeers.size() + 1) * 2 > members) {
            Membership::confirm(state.members, now);
        }
    }
    if (!state.hasRequestedSnapshot && envelope.membership.isConfirmed) {
        state.hasRequestedSnapshot = dispatchExchange(state, sender.address, RequestSnapshot{}, MessageClass::Answer, now, decision);
    }
    const bool isDifferent = envelope.summaries != summariesOf(state);
    if (isDifferent && !sendRecentChanges(state, sender.address, envelope.summaries, now, decision)) {
        startComparison(state, envelope.summaries, sender.address, now, random, decision);
    }
}

/// Handles the exchange step of one message.
struct ExchangeHandler {
    State &state;
    const Membership::PeerAddress &peer;
    Core::TimePoint now;
    Core::Random &random;
    Decision &decision;
    bool &hasUrgentUpdates;

    void operator()(std::monostate) const
    {
    }
    void operator()(const CompareBuckets &compare) const
    {
        handleExchange(this->state, compare, this->peer, this->now, this->random, this->decision);
    }
    void operator()(const CompareRecords &compare) const
    {
        handleExchange(this->state, compare, this->peer, this->now, this->decision);
    }
    void operator()(const RequestRecords &request) const
    {
        handleExchange(this->state, request, this->peer, this->now, this->decision);
    }
    void operator()(const RequestSection &request) const
    {
        deliverSection(this->state, request, this->peer, this->now, this->decision);
    }
    void operator()(const DeliverSection &delivery) const
    {
        this->hasUrgentUpdates |= acceptSection(this->state, delivery.section, this->now, this->decision.changes);
    }
    void operator()(const RequestSnapshot &) const
    {
        sendSnapshot(this->state, this->peer, this->now, this->decision);
    }
};

/// Merges the sections and records of a message. Returns true if any of them was both urgent and new.
bool applyUpdates(State &state, const Envelope &envelope, Core::TimePoint now, Decision &decision)
{
    bool hasUrgentUpdates = false;
    for (const auto &update : envelope.sections) {
        hasUrgentUpdates |= applySectionUpdate(state, update, envelope.membership.sender.address, now, decision);
    }
    for (const auto &carried : envelope.records) {
        const auto remaining = std::min<std::chrono::seconds>(carried.remaining, MAX_ACCEPTED_RETENTION);
        hasUrgentUpdates |= mergeRecord(state, carried.record, now + remaining, now, decision.changes) && isUrgent(carried.record);
    }
    return hasUrgentUpdates;
}

} // namespace

State makeState(Membership::MemberUpdate self, std::set<Membership::PeerAddress> seeds, Core::TimePoint now)
{
    State state;
    state.members = Membership::makeState(std::move(self), std::move(seeds), now);
    state.nextExpiry = now;
    return state;
}

Decision tick(State &state, Core::TimePoint now, Core::Random &random)
{
    Decision decision;
    auto members = Membership::tick(state.members, now, random);
    resetAgreeingPeers(state);
    decision.changes.members = std::move(members.changes);
    if (now >= state.nextExpiry) {
        state.nextExpiry = now + EXPIRY_INTERVAL;
        forEachTable(state, [now](auto &table) {
            expire(table, now);
        });
    }
    sendMembershipMessages(state, std::move(members.messages), std::nullopt, now, decision);
    requestPendingSections(state, now, decision);
    if (state.remainingPushTicks > 0) {
        --state.remainingPushTicks;
        pushToRandomPeers(state, REPEATED_PUSH_FANOUT, now, random, decision);
    }
    return decision;
}

Decision receive(State &state, std::string_view bytes, Core::TimePoint now, Core::Random &random)
{
    const auto envelope = decode(bytes);
    Decision decision;
    const auto &sender = envelope.membership.sender;
    if (sender.id == state.members.self) {
        return decision;
    }
    auto members = Membership::receive(state.members, envelope.membership, now);
    resetAgreeingPeers(state);
    decision.changes.members = std::move(members.changes);
    bool hasUrgentUpdates = applyUpdates(state, envelope, now, decision) || members.hasRefuted;
    std::visit(ExchangeHandler{state, sender.address, now, random, decision, hasUrgentUpdates}, envelope.exchange);
    sendMembershipMessages(state, std::move(members.messages), envelope.summaries, now, decision);
    if (members.acknowledgingMember) {
        compareWithSender(state, envelope, now, random, decision);
    }
    if (hasUrgentUpdates) {
        pushUrgent(state, now, random, decision);
    }
    return decision;
}

Decision publishSection(State &state, const SectionText &section, Core::TimePoint now, Core::Random &random)
{
    Membership::observeTime(state.members, now);
    Decision decision;
    if (acceptSection(state, section, now, decision.changes)) {
        pushUrgent(state, now, random, decision);
    }
    return decision;
}

Decision publish(State &state, const Record &record, Core::TimePoint now, Core::Random &random, Core::Duration retention)
{
    Membership::observeTime(state.members, now);
    Decision decision;
    const auto kept = retention > Core::Duration{0} ? retention : retentionOf(record);
    const bool isChanged = mergeRecord(state, record, now + kept, now, decision.changes);
    if (isChanged && isUrgent(record)) {
        pushUrgent(state, now, random, decision);
    }
    return decision;
}

Decision leave(State &state, Core::TimePoint now)
{
    Decision decision;
    for (auto &outgoing : Membership::leave(state.members, now).messages) {
        Envelope envelope;
        envelope.membership = std::move(outgoing.message);
        dispatch(state, {std::move(outgoing.to), std::move(envelope), MessageClass::Bulk, std::nullopt}, now, decision);
    }
    return decision;
}

bool isConfirmed(const State &state, Core::TimePoint now)
{
    return Membership::isConfirmed(state.members, now);
}

void confirmWithStore(State &state, Core::TimePoint now)
{
    Membership::confirm(state.members, now);
}

std::uint64_t warmUpEpoch(const State &state, const Core::TargetStartId &start)
{
    const auto *warmUpState = state.warmUpStates.find(start);
    auto newest = warmUpState == nullptr ? 0 : warmUpState->epoch;
    const auto &entries = state.warmUpProgress.entries;
    for (auto at = entries.lower_bound({start, {}}); at != entries.end() && at->first.start == start; ++at) {
        newest = std::max(newest, at->second.record.epoch);
    }
    return newest;
}

std::uint64_t completedRequests(const State &state, const Core::TargetStartId &start)
{
    const auto newest = warmUpEpoch(state, start);
    const auto &entries = state.warmUpProgress.entries;
    std::uint64_t sum = 0;
    for (auto at = entries.lower_bound({start, {}}); at != entries.end() && at->first.start == start; ++at) {
        sum += at->second.record.epoch == newest ? at->second.record.completedRequests : 0;
    }
    return sum;
}

std::size_t countFailedTargets(const State &state, std::uint64_t fingerprint)
{
    const auto &entries = state.quarantine.entries;
    auto at = entries.lower_bound({fingerprint, {}});
    std::size_t count = 0;
    for (; at != entries.end() && at->first.fingerprint == fingerprint; ++at) {
        ++count;
    }
    return count;
}

} // namespace Briarbend::Gossip
