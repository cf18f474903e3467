#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Briarbend::Fleet
{

/// One target as its entry in the platform's list describes it.
struct TargetRecord {
    /// The identifier under which the target registered; it survives a restart.
    std::string name;
    /// Wall time of the target's start, which tells two starts under one name apart; zero where it is not stated.
    std::int64_t startedAtMilliseconds{0};
    /// "address:port".
    Core::TargetId address;
    Core::ServiceName service;
    Core::DataCentreName dataCentre;
    Core::VersionName version;
    /// Requests that the target runs at once.
    std::uint32_t slots{1};
    bool isLeaving{false};
    /// Time for which the target stays cold, counted from the moment at which the entry was read.
    std::chrono::milliseconds coldLeft{0};

    bool operator==(const TargetRecord &) const = default;
};

/// A start of a target.
struct TargetStart {
    std::string name;
    std::int64_t startedAtMilliseconds{0};

    auto operator<=>(const TargetStart &) const = default;
};

/// An entry of the directory.
struct DirectoryEntry {
    TargetRecord record;
    /// Set while the entry is missing from the list for a reason that may be the store's outage and not the target's end.
    std::optional<Core::TimePoint> missingSince;
};

/// What a target said of itself in its answers. It holds for one start, and outlives the target's entry, which may lapse and come back.
struct SelfReport {
    std::int64_t startedAtMilliseconds{0};
    bool isLeaving{false};
    /// The target wants nothing from this instance before then.
    Core::TimePoint quietUntil;
    Core::TimePoint reportedAt;

    bool operator==(const SelfReport &) const = default;
};

/// After an outage entries whose lease lapsed meanwhile come back within this time if their target lives. The platform states about 2 s.
constexpr std::chrono::milliseconds REREGISTRATION_GRACE_PERIOD{2300};
/// A store that did not answer for this long may have let leases lapse: the shortest lease that the platform grants.
constexpr std::chrono::milliseconds MINIMUM_LEASE_DURATION{1000};
/// Share of all entries whose removal at once shows that leases lapsed in an outage that was not seen from here. The loss of a data centre
/// is a third; what its targets are asked then shows by itself that they are gone.
constexpr double MASS_EXPIRY_SHARE = 0.4;

/// Time for which a report is kept whose target is not listed. A target that leaves serves for some seconds more.
constexpr std::chrono::minutes SELF_REPORT_RETENTION{10};

/// The list of targets that this instance goes by. It survives outages of the store.
struct Directory {
    std::map<std::string, DirectoryEntry> entries;
    /// By the target's name.
    std::map<std::string, SelfReport> selfReports;
    bool isKnown{false};
    /// Since when the store has not answered, while it does not.
    std::optional<Core::TimePoint> storeLostSince;
    /// The end of the last outage that was long enough for leases to lapse.
    std::optional<Core::TimePoint> outageEndedAt;
};

/// Notes that the store answered, or is known to answer others.
void recordStoreAnswer(Directory &directory, Core::TimePoint now);

/// Notes that the store did not answer.
void recordStoreFailure(Directory &directory, Core::TimePoint now);

/// Tells how many entries are about to be removed at once.
void recordPendingRemovals(Directory &directory, std::size_t removals, Core::TimePoint now);

/// Takes over one new or changed entry.
void applyRecord(Directory &directory, const TargetRecord &record);

/// Takes an entry out, at once or, shortly after an outage, once it has not come back.
void applyRemoval(Directory &directory, const std::string &name, Core::TimePoint now);

/// Notes that the start of the target said that it leaves. True where that is new. No entry of the list takes it back.
bool recordLeaving(Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint now);

/// Notes that the start of the target asked for nothing before the moment.
void recordQuiet(
    Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint quietUntil, Core::TimePoint now);

/// What the start of the target that the record describes said of itself; null where it said nothing.
const SelfReport *findSelfReport(const Directory &directory, const TargetRecord &record);

/// The targets that said that they leave.
std::vector<TargetStart> leavingTargets(const Directory &directory);

/// Forgets reports of targets that have not been listed for long.
void expireSelfReports(Directory &directory, Core::TimePoint now);

/// Removes entries that were missing for too long. True where any was.
bool expireMissing(Directory &directory, Core::TimePoint now);

} // namespace Briarbend::Fleet
