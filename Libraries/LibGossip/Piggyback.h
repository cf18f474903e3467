#pragma once

#include <LibGossip/Gossip.h>

#include <optional>

namespace Briarbend::Gossip
{

/// A change younger than this is the likely reason why a peer's summary differs.
constexpr std::chrono::seconds RECENT_CHANGE_MAX_AGE{10};

/// Kinds that no comparison repairs are sent so many times as often.
constexpr std::uint32_t UNCOMPARED_TRANSMISSION_FACTOR = 2;

/// Decides which changes a message to one receiver may carry.
struct ChangeFilter {
    std::uint32_t transmissionLimit{0};
    Core::TimePoint now;
    /// Kinds of which the receiver holds something else.
    std::array<bool, DIGEST_KINDS> differs{};
    /// Leaves out what can wait for the next probe.
    bool isUrgentOnly{false};

    bool includes(std::uint32_t transmissions, Core::TimePoint changedAt, DigestKind kind) const
    {
        const bool isRecent = this->now - changedAt < RECENT_CHANGE_MAX_AGE;
        return transmissions < this->transmissionLimit || (isRecent && this->differs.at(static_cast<std::size_t>(kind)));
    }

    bool includes(std::uint32_t transmissions) const
    {
        return transmissions < this->transmissionLimit * UNCOMPARED_TRANSMISSION_FACTOR && !this->isUrgentOnly;
    }

    bool includes(const Entry<RolloutProgressRecord> &entry) const
    {
        return this->includes(entry.transmissions, entry.changedAt, DigestKind::RolloutProgress);
    }

    bool includes(const Entry<QuarantineRecord> &entry) const
    {
        return this->includes(entry.transmissions, entry.changedAt, DigestKind::Quarantine);
    }

    bool includes(const Entry<WarmUpStateRecord> &entry) const
    {
        return this->includes(entry.transmissions, entry.changedAt, DigestKind::WarmUpStates);
    }

    bool includes(const Entry<WarmUpProgressRecord> &entry) const
    {
        return this->includes(entry.transmissions);
    }

    bool includes(const Entry<RequestStatsRecord> &entry) const
    {
        return this->includes(entry.transmissions);
    }
};

/// What may go to a peer that has told these summaries.
ChangeFilter filterFor(const State &state, const std::optional<Summaries> &theirs, Core::TimePoint now);

using EntryPointer = std::variant<Entry<RolloutProgressRecord> *,
                                  Entry<QuarantineRecord> *,
                                  Entry<WarmUpStateRecord> *,
                                  Entry<WarmUpProgressRecord> *,
                                  Entry<RequestStatsRecord> *>;

/// What was put into a message, so that it counts as sent only once the budget has let it go.
struct PiggybackedItems {
    std::vector<EntryPointer> records;
    std::vector<HeldSection *> sections;
};

/// Adds what the filter includes, up to the availableBytes in bytes: sections, then members, then records.
PiggybackedItems piggyback(State &state, const ChangeFilter &filter, std::size_t availableBytes, Envelope &envelope);

void countTransmissions(const PiggybackedItems &piggybacked);

} // namespace Briarbend::Gossip
