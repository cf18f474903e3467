#pragma once

#include <LibGossip/Gossip.h>

#include <optional>

namespace Briarbend::Gossip
{

/// A change younger than this is the likely reason why a peer's summary differs.
constexpr std::chrono::seconds RECENT_CHANGE{10};

/// Kinds that no comparison repairs are sent so many times as often.
constexpr std::uint32_t UNCOMPARED_FACTOR = 2;

/// Decides which changes a message to one receiver may carry.
struct Selection {
    std::uint32_t transmissionLimit{0};
    Core::TimePoint now;
    /// Kinds of which the receiver holds something else.
    std::array<bool, DIGEST_KINDS> differs{};
    /// Leaves out what can wait for the next probe.
    bool isUrgentOnly{false};

    bool includes(std::uint32_t transmissions, Core::TimePoint changedAt, DigestKind kind) const
    {
        const bool isRecent = this->now - changedAt < RECENT_CHANGE;
        return transmissions < this->transmissionLimit || (isRecent && this->differs.at(static_cast<std::size_t>(kind)));
    }

    bool includes(std::uint32_t transmissions) const
    {
        return transmissions < this->transmissionLimit * UNCOMPARED_FACTOR && !this->isUrgentOnly;
    }

    bool includes(const Entry<VerdictRecord> &entry) const
    {
        return this->includes(entry.transmissions, entry.changedAt, DigestKind::Verdicts);
    }

    bool includes(const Entry<QuarantineRecord> &entry) const
    {
        return this->includes(entry.transmissions, entry.changedAt, DigestKind::Quarantine);
    }

    bool includes(const Entry<WarmUpStateRecord> &entry) const
    {
        return this->includes(entry.transmissions, entry.changedAt, DigestKind::WarmMarks);
    }

    bool includes(const Entry<WarmthRecord> &entry) const
    {
        return this->includes(entry.transmissions);
    }

    bool includes(const Entry<EvidenceRecord> &entry) const
    {
        return this->includes(entry.transmissions);
    }
};

/// What may go to a peer that has told these summaries.
Selection selectionFor(const State &state, const std::optional<Summaries> &theirs, Core::TimePoint now);

using EntryPointer = std::
    variant<Entry<VerdictRecord> *, Entry<QuarantineRecord> *, Entry<WarmUpStateRecord> *, Entry<WarmthRecord> *, Entry<EvidenceRecord> *>;

/// What was put into a message, so that it counts as sent only once the budget has let it go.
struct Cargo {
    std::vector<EntryPointer> records;
    std::vector<HeldSection *> sections;
};

/// Adds what the selection includes, up to the room in bytes: sections, then members, then records.
Cargo fill(State &state, const Selection &selection, std::size_t room, Envelope &envelope);

void countTransmissions(const Cargo &cargo);

} // namespace Briarbend::Gossip
