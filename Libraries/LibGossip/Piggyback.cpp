#include <LibGossip/Piggyback.h>

#include <LibGossip/Dispatch.h>
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
constexpr std::size_t MAX_MEMBER_UPDATES = 4;
constexpr std::size_t MAX_PIGGYBACK_RECORDS = 32;

/// A record that may be piggybacked on the next message.
struct Candidate {
    EntryPointer entry;
    std::uint32_t transmissions;
    Core::TimePoint changedAt;

    /// Orders by fewest transmissions, then by most urgent kind, then by most recent change.
    bool isBefore(const Candidate &other) const
    {
        return std::tuple{this->transmissions, this->entry.index(), other.changedAt}
        < std::tuple{other.transmissions, other.entry.index(), this->changedAt};
    }
};

/// Approximate encoded size of one member's news.
constexpr std::size_t MEMBER_UPDATE_BYTES = 60;

std::vector<Candidate> recordCandidates(State &state, const ChangeFilter &filter)
{
    std::vector<Candidate> candidates;
    forEachTable(state, [&](auto &table) {
        for (auto &[key, entry] : table.entries) {
            if (filter.includes(entry)) {
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

void piggybackSections(
    State &state, const ChangeFilter &filter, Envelope &envelope, std::size_t &availableBytes, PiggybackedItems &piggybacked)
{
    std::vector<HeldSection *> unsent;
    for (auto &[team, held] : state.sections.held) {
        if (filter.includes(held.transmissions, held.changedAt, DigestKind::Sections)) {
            unsent.push_back(&held);
        }
    }
    std::ranges::stable_sort(unsent, {}, &HeldSection::transmissions);
    for (auto *held : unsent) {
        auto update = updateOf(*held);
        const auto size = encodedSize(update);
        if (size <= availableBytes) {
            availableBytes -= size;
            envelope.sections.push_back(std::move(update));
            piggybacked.sections.push_back(held);
        }
    }
}

/// Returns the scope of request statistics. Records are sorted by it, so that each scope is encoded once.
std::optional<RequestStatsScope> scopeOf(const CarriedRecord &carried)
{
    const auto *requestStats = std::get_if<RequestStatsRecord>(&carried.record);
    return requestStats == nullptr ? std::nullopt : std::optional{requestStats->key.scope};
}

void piggybackRecords(
    State &state, const ChangeFilter &filter, Envelope &envelope, std::size_t &availableBytes, PiggybackedItems &piggybacked)
{
    for (const auto &candidate : recordCandidates(state, filter)) {
        auto carried = std::visit(
            [&filter](const auto *entry) {
                return CarriedRecord{entry->record, remainingTime(entry->expires, filter.now)};
            },
            candidate.entry);
        const auto size = encodedSize(carried);
        if (size <= availableBytes && carried.remaining.count() > 0) {
            availableBytes -= size;
            envelope.records.push_back(std::move(carried));
            piggybacked.records.push_back(candidate.entry);
        }
    }
    std::ranges::stable_sort(envelope.records, [](const CarriedRecord &left, const CarriedRecord &right) {
        return scopeOf(left) < scopeOf(right);
    });
}

} // namespace

ChangeFilter filterFor(const State &state, const std::optional<Summaries> &theirs, Core::TimePoint now)
{
    ChangeFilter filter{maxTransmissions(state), now, {}};
    if (theirs) {
        const auto mine = summariesOf(state);
        std::ranges::transform(mine, *theirs, filter.differs.begin(), std::not_equal_to{});
    }
    return filter;
}

PiggybackedItems piggyback(State &state, const ChangeFilter &filter, std::size_t availableBytes, Envelope &envelope)
{
    PiggybackedItems piggybacked;
    availableBytes = std::min(availableBytes, MAX_PIGGYBACK_BYTES);
    piggybackSections(state, filter, envelope, availableBytes, piggybacked);
    if (filter.transmissionLimit > 0) {
        const auto updates = Membership::takeUpdates(state.members, std::min(MAX_MEMBER_UPDATES, availableBytes / MEMBER_UPDATE_BYTES));
        availableBytes -= updates.size() * MEMBER_UPDATE_BYTES;
        std::ranges::copy(updates, std::back_inserter(envelope.membership.updates));
    }
    piggybackRecords(state, filter, envelope, availableBytes, piggybacked);
    return piggybacked;
}

void countTransmissions(const PiggybackedItems &piggybacked)
{
    for (const auto &record : piggybacked.records) {
        std::visit(
            [](auto *entry) {
                ++entry->transmissions;
            },
            record);
    }
    for (auto *section : piggybacked.sections) {
        ++section->transmissions;
    }
}

} // namespace Briarbend::Gossip
