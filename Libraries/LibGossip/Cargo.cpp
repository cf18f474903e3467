#include <LibGossip/Cargo.h>

#include <LibGossip/Outbox.h>
#include <LibGossip/Sections.h>
#include <LibGossip/Tables.h>
#include <LibGossip/Wire.h>

#include <algorithm>
#include <functional>
#include <tuple>

namespace Briarbend::Gossip
{

namespace
{

constexpr std::size_t MAX_PIGGYBACK_BYTES = 900;
constexpr std::size_t MAX_MEMBER_NEWS = 4;
constexpr std::size_t MAX_PIGGYBACK_RECORDS = 32;

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

std::vector<Candidate> recordCandidates(State &state, const Selection &selection)
{
    std::vector<Candidate> candidates;
    forEachTable(state, [&](auto &table) {
        for (auto &[key, entry] : table.entries) {
            if (selection.includes(entry)) {
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

void fillSections(State &state, const Selection &selection, Envelope &envelope, std::size_t &room, Cargo &cargo)
{
    std::vector<HeldSection *> fresh;
    for (auto &[team, held] : state.sections.held) {
        if (selection.includes(held.transmissions, held.changedAt, DigestKind::Sections)) {
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

/// Records of one subject stand together, so that it is written once.
std::optional<EvidenceSubject> subjectOf(const CarriedRecord &carried)
{
    const auto *evidence = std::get_if<EvidenceRecord>(&carried.record);
    return evidence == nullptr ? std::nullopt : std::optional{evidence->key.subject};
}

void fillRecords(State &state, const Selection &selection, Envelope &envelope, std::size_t &room, Cargo &cargo)
{
    for (const auto &candidate : recordCandidates(state, selection)) {
        auto carried = std::visit(
            [&selection](const auto *entry) {
                return CarriedRecord{entry->record, remainingTime(entry->expires, selection.now)};
            },
            candidate.entry);
        const auto size = encodedSize(carried);
        if (size <= room && carried.remaining.count() > 0) {
            room -= size;
            envelope.records.push_back(std::move(carried));
            cargo.records.push_back(candidate.entry);
        }
    }
    std::ranges::stable_sort(envelope.records, [](const CarriedRecord &left, const CarriedRecord &right) {
        return subjectOf(left) < subjectOf(right);
    });
}

} // namespace

Selection selectionFor(const State &state, const std::optional<Summaries> &theirs, Core::TimePoint now)
{
    Selection selection{newsLimit(state), now, {}};
    if (theirs) {
        const auto mine = summariesOf(state);
        std::ranges::transform(mine, *theirs, selection.differs.begin(), std::not_equal_to{});
    }
    return selection;
}

Cargo fill(State &state, const Selection &selection, std::size_t room, Envelope &envelope)
{
    Cargo cargo;
    room = std::min(room, MAX_PIGGYBACK_BYTES);
    fillSections(state, selection, envelope, room, cargo);
    if (selection.transmissionLimit > 0) {
        const auto news = Membership::takeNews(state.members, std::min(MAX_MEMBER_NEWS, room / MEMBER_NEWS_BYTES));
        room -= news.size() * MEMBER_NEWS_BYTES;
        std::ranges::copy(news, std::back_inserter(envelope.membership.news));
    }
    fillRecords(state, selection, envelope, room, cargo);
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

} // namespace Briarbend::Gossip
