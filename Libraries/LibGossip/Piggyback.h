#pragma once

#include <LibGossip/Gossip.h>

#include <optional>

namespace Briarbend::Gossip
{

/// A change that is more recent than this is probably the reason for a peer's differing summary.
constexpr std::chrono::seconds RECENT_CHANGE_MAX_AGE{10};

/// Factor by which the transmission limit is raised for kinds that anti-entropy does not repair.
constexpr std::uint32_t UNCOMPARED_TRANSMISSION_FACTOR = 2;

/// Selects the changes that may be piggybacked on a message to one receiver.
struct ChangeFilter {
    std::uint32_t transmissionLimit{0};
    Core::TimePoint now;
    /// Kinds for which the receiver's summary differs.
    std::array<bool, DIGEST_KINDS> differs{};
    /// Excludes changes that can wait for the next probe.
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

/// Returns the filter for a peer that has sent these summaries.
ChangeFilter filterFor(const State &state, const std::optional<Summaries> &theirs, Core::TimePoint now);

using EntryPointer = std::variant<Entry<RolloutProgressRecord> *,
                                  Entry<QuarantineRecord> *,
                                  Entry<WarmUpStateRecord> *,
                                  Entry<WarmUpProgressRecord> *,
                                  Entry<RequestStatsRecord> *>;

/// The items added to a message. Their transmissions are counted only after the budget has admitted the message.
struct PiggybackedItems {
    std::vector<EntryPointer> records;
    std::vector<HeldSection *> sections;
};

/// Adds the changes that the filter includes, up to `availableBytes`: first sections, then members, then records.
PiggybackedItems piggyback(State &state, const ChangeFilter &filter, std::size_t availableBytes, Envelope &envelope);

void countTransmissions(const PiggybackedItems &piggybacked);

} // namespace Briarbend::Gossip
