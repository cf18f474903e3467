#include <LibGossip/Outbox.h>

#include <LibGossip/Sections.h>
#include <LibGossip/Tables.h>
#include <LibGossip/Wire.h>
#include <LibMembership/Table.h>

#include <algorithm>
#include <tuple>

namespace Briarbend::Gossip
{

namespace
{

constexpr std::size_t MAX_PIGGYBACK_BYTES = 500;
constexpr std::size_t MAX_MEMBER_NEWS = 4;
constexpr std::size_t MAX_PIGGYBACK_RECORDS = 16;

using EntryPointer
    = std::variant<Entry<VerdictRecord> *, Entry<QuarantineRecord> *, Entry<WarmMark> *, Entry<WarmthRecord> *, Entry<EvidenceRecord> *>;

/// A record that may travel with the next message.
struct Candidate {
    EntryPointer entry;
    std::uint32_t transmissions;
    Core::TimePoint changedAt;

    /// Least often sent first, then the most urgent kind, then the newest.
    bool isBefore(const Candidate &other) const
    {
        return std::tuple{this->transmissions, this->entry.index(), other.changedAt}
        < std::tuple{other.transmissions, other.entry.index(), this->changedAt};
    }
};

/// About the size of one member's news.
constexpr std::size_t MEMBER_NEWS_BYTES = 60;

/// What was put into a message, so that it counts as sent only once the budget has let it go.
struct Cargo {
    std::vector<EntryPointer> records;
    std::vector<HeldSection *> sections;
};

std::vector<Candidate> recordCandidates(State &state)
{
    const auto limit = newsLimit(state);
    std::vector<Candidate> candidates;
    forEachTable(state, [&](auto &table) {
        for (auto &[key, entry] : table.entries) {
            if (entry.transmissions < limit) {
                candidates.push_back({&entry, entry.transmissions, entry.changedAt});
            }
        }
    });
    const auto kept = std::min(candidates.size(), MAX_PIGGYBACK_RECORDS);
    std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(kept), [](const auto &left, const auto &right) {
        return left.isBefore(right);
    });
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(kept), candidates.end());
    return candidates;
}

void fillSections(State &state, Envelope &envelope, std::size_t &room, Cargo &cargo)
{
    const auto limit = newsLimit(state);
    std::vector<HeldSection *> fresh;
    for (auto &[team, held] : state.sections.held) {
        if (held.transmissions < limit) {
            fresh.push_back(&held);
        }
    }
    std::ranges::stable_sort(fresh, {}, &HeldSection::transmissions);
    for (auto *held : fresh) {
        auto news = newsOf(*held);
        const auto size = encodedSize(news);
        if (size <= room) {
            room -= size;
            envelope.sections.push_back(std::move(news));
            cargo.sections.push_back(held);
        }
    }
}

void fillRecords(State &state, Envelope &envelope, std::size_t &room, Cargo &cargo, Core::TimePoint now)
{
    for (const auto &candidate : recordCandidates(state)) {
        auto carried = std::visit(
            [now](const auto *entry) {
                return CarriedRecord{entry->record, remainingTime(entry->expires, now)};
            },
            candidate.entry);
        const auto size = encodedSize(carried);
        if (size <= room && carried.remaining.count() > 0) {
            room -= size;
            envelope.records.push_back(std::move(carried));
            cargo.records.push_back(candidate.entry);
        }
    }
}

/// Adds news as far as the control budget goes.
Cargo fill(State &state, Envelope &envelope, Core::TimePoint now)
{
    Cargo cargo;
    const auto base = encode(envelope).size() + MESSAGE_OVERHEAD_BYTES;
    const auto available = state.control.available(HEARTBEAT_RESERVE_BYTES, now);
    if (available <= base) {
        return cargo;
    }
    auto room = std::min(available - base, MAX_PIGGYBACK_BYTES);
    const auto news = Membership::takeNews(state.members, std::min(MAX_MEMBER_NEWS, room / MEMBER_NEWS_BYTES));
    room -= news.size() * MEMBER_NEWS_BYTES;
    std::ranges::copy(news, std::back_inserter(envelope.membership.news));
    fillSections(state, envelope, room, cargo);
    fillRecords(state, envelope, room, cargo, now);
    return cargo;
}

void countTransmissions(const Cargo &cargo)
{
    for (const auto &record : cargo.records) {
        std::visit(
            [](auto *entry) {
                ++entry->transmissions;
            },
            record);
    }
    for (auto *section : cargo.sections) {
        ++section->transmissions;
    }
}

bool charge(State &state, MessageClass messageClass, std::size_t bytes, Core::TimePoint now)
{
    switch (messageClass) {
    case MessageClass::Answer:
        return state.control.tryTake(bytes, 0, now);
    case MessageClass::Probe:
        return state.control.tryTake(bytes, ANSWER_RESERVE_BYTES, now);
    case MessageClass::Bulk:
        return state.bulk.tryTake(bytes, 0, now);
    case MessageClass::News:
    case MessageClass::Comparison:
        break;
    }
    return state.control.tryTake(bytes, HEARTBEAT_RESERVE_BYTES, now);
}

bool carriesNews(MessageClass messageClass)
{
    return messageClass != MessageClass::Comparison && messageClass != MessageClass::Bulk;
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
    Cargo cargo;
    if (carriesNews(draft.messageClass)) {
        cargo = fill(state, envelope, now);
    }
    if (draft.messageClass == MessageClass::News && isEmpty(envelope)) {
        return false;
    }
    auto bytes = encode(envelope);
    if (!charge(state, draft.messageClass, bytes.size() + MESSAGE_OVERHEAD_BYTES, now)) {
        return false;
    }
    countTransmissions(cargo);
    decision.datagrams.push_back({std::move(draft.to), std::move(bytes)});
    return true;
}

bool dispatchExchange(
    State &state, const Membership::PeerAddress &to, Exchange exchange, MessageClass messageClass, Core::TimePoint now, Decision &decision)
{
    Envelope envelope;
    envelope.membership = Membership::makeMessage(state.members, std::monostate{});
    envelope.exchange = std::move(exchange);
    return dispatch(state, {to, std::move(envelope), messageClass}, now, decision);
}

void push(State &state, std::size_t peers, Core::TimePoint now, Core::Random &random, Decision &decision)
{
    for (auto &peer : Membership::randomPeers(state.members, peers, random)) {
        Envelope envelope;
        envelope.membership = Membership::makeMessage(state.members, std::monostate{});
        dispatch(state, {std::move(peer), std::move(envelope), MessageClass::News}, now, decision);
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
