#pragma once

#include <LibMembership/State.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Tells members that have ended from members that this instance cannot reach. Silence is the same in both cases. The platform's store is
/// reached by all that live and are not cut off, so instances show there whom they reach while some members are missing.
namespace Briarbend::Membership
{

/// Interval at which an instance renews its entry.
constexpr std::chrono::milliseconds PRESENCE_INTERVAL{1500};
/// Time without a renewal after which an entry no longer counts, and time for which the entries must have been known before the absence of
/// one counts. Others need some seconds to notice that members are missing.
constexpr std::chrono::milliseconds PRESENCE_TIMEOUT{4500};

/// The members that one instance reaches, itself among them, by memberHash.
struct PresenceEntry {
    /// Greater with each renewal by the same process.
    std::uint64_t sequence{0};
    std::vector<std::uint32_t> members;

    bool operator==(const PresenceEntry &) const = default;
};

/// The entries in the store, by the peer addresses of the instances that wrote them.
using PresenceTable = std::map<PeerAddress, PresenceEntry>;

struct ObservedEntry {
    PresenceEntry entry;
    /// When this instance first saw the entry as it is.
    Core::TimePoint changedAt;
};

struct PresenceState {
    /// Entries of other instances.
    std::map<PeerAddress, ObservedEntry> entries;
    std::uint64_t sequence{0};
    /// Since when this instance has read the entries without a gap; nothing if it does not.
    std::optional<Core::TimePoint> readSince;
    Core::TimePoint lastReadAt;
};

/// Members that failed and may still be alive elsewhere.
std::vector<Core::InstanceId> missingMembers(const State &state);

/// Takes over the entries as the store held them at the given time.
void applyTable(PresenceState &presence, const PresenceTable &table, const PeerAddress &self, Core::TimePoint now);

/// The entries to write: that of this instance renewed, without those that have not been renewed for long.
PresenceTable renewedTable(PresenceState &presence, const State &state, Core::TimePoint now);

/// Number of members that others reach and this instance does not.
std::size_t countShownElsewhere(const PresenceState &presence, const State &state, Core::TimePoint now);

/// Whether the members that this instance reaches may decide for all: they are the majority of all members, or the larger part of those
/// that show that they are alive. Two parts of a divided fleet never both may, as long as they reach the store.
bool mayDecideForAll(const PresenceState &presence, const State &state, Core::TimePoint now);

/// JSON text of the entries.
std::string encodePresence(const PresenceTable &table);
/// The entries that can be read; what other programs may have written is left out.
PresenceTable decodePresence(std::string_view text);

} // namespace Briarbend::Membership
