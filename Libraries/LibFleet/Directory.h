#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibFleet/RateLimit.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Briarbend::Fleet
{

/// One target as described by its entry in the platform's list.
struct TargetRecord {
    /// The identifier under which the target registered; it survives a restart.
    std::string name;
    /// Wall clock time of the target's start, which distinguishes starts under the same name; zero if it is not given.
    std::int64_t startedAtMilliseconds{0};
    /// "address:port".
    Core::TargetId address;
    Core::ServiceName service;
    Core::DataCentreName dataCentre;
    Core::VersionName version;
    /// Requests that the target runs at once.
    std::uint32_t slots{1};
    bool isLeaving{false};
    /// Time for which the target stays cold, counted from when the entry was read.
    std::chrono::milliseconds coldLeft{0};

    bool operator==(const TargetRecord &) const = default;
};

/// Identifies one start of a target.
struct TargetStart {
    std::string name;
    std::int64_t startedAtMilliseconds{0};

    auto operator<=>(const TargetStart &) const = default;
};

struct DirectoryEntry {
    TargetRecord record;
    /// Set while the entry is missing from the list, possibly because of a store outage and not because the target has ended.
    std::optional<Core::TimePoint> missingSince;
};

/// What one start of a target reported about itself in its answers. It is kept while the target's entry is missing, since the entry may
/// expire and be registered again.
struct SelfReport {
    bool isLeaving{false};
    /// When this instance learnt that the target leaves.
    Core::TimePoint leavingSince;
    /// The target wants no requests from this instance before then.
    Core::TimePoint quietUntil;
    /// Unset while the target states no rate.
    std::optional<StatedRate> rate;
    Core::TimePoint reportedAt;

    bool operator==(const SelfReport &) const = default;
};

/// Time after a store outage within which running targets register again if their lease expired. The platform states about 2 s.
constexpr std::chrono::milliseconds REREGISTRATION_GRACE_PERIOD{2300};
/// The shortest lease that the platform grants. Leases may have expired if the store did not answer for this long.
constexpr std::chrono::milliseconds MINIMUM_LEASE_DURATION{1000};
/// Share of all entries whose simultaneous removal shows that leases expired in a store outage that this instance did not observe. The
/// loss of one data centre removes a third; probes and requests to its targets then fail, which shows that they are gone.
constexpr double MASS_EXPIRY_SHARE = 0.4;

/// Time for which the self-report of a start that is not listed is kept. A leaving target serves for some more seconds.
constexpr std::chrono::minutes SELF_REPORT_RETENTION{10};

/// The list of targets that this instance uses. It is kept through store outages.
struct Directory {
    std::map<std::string, DirectoryEntry> entries;
    /// Start times do not order the starts of a target: its clock may have been set back.
    std::map<TargetStart, SelfReport> selfReports;
    bool isKnown{false};
    /// Since when the store has not answered; unset while it answers.
    std::optional<Core::TimePoint> storeLostSince;
    /// End of the last store outage that was long enough for leases to expire.
    std::optional<Core::TimePoint> outageEndedAt;
};

/// Records that the store answered this instance, or is known to answer others.
void recordStoreAnswer(Directory &directory, Core::TimePoint now);

/// Records that the store did not answer.
void recordStoreFailure(Directory &directory, Core::TimePoint now);

/// Records how many entries are about to be removed at once. A removal of many is treated as the end of a store outage.
void recordPendingRemovals(Directory &directory, std::size_t removals, Core::TimePoint now);

/// Records that the store was restored from an older copy: entries written since then are missing until their targets register again.
void recordStoreRestored(Directory &directory, Core::TimePoint now);

/// Adds or replaces one entry. A start that leaves does not stop doing so, whatever an outdated entry states.
void applyRecord(Directory &directory, const TargetRecord &record);

/// Removes an entry. Shortly after a store outage, the entry is only marked as missing, unless its target is leaving.
void applyRemoval(Directory &directory, const std::string &name, Core::TimePoint now);

/// Records that the target reported that it leaves. Returns true if this is new. Entries of the list do not revoke it.
bool recordLeaving(Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint now);

/// Records that the target asked to receive no requests before `quietUntil`.
void recordQuiet(
    Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint quietUntil, Core::TimePoint now);

/// Records the rate of requests that the target stated. Returns true if it is another than before.
bool recordRate(
    Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, double requestsPerSecond, Core::TimePoint now);

/// Records that the target states no rate any more. Returns true if it had stated one.
bool withdrawRate(Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds);

/// The self-report of the start that the record describes, or null.
const SelfReport *findSelfReport(const Directory &directory, const TargetRecord &record);

/// The targets that reported that they leave.
std::vector<TargetStart> leavingTargets(const Directory &directory);

/// Removes self-reports of starts that have not been listed for SELF_REPORT_RETENTION.
void expireSelfReports(Directory &directory, Core::TimePoint now);

/// Removes missing entries once the grace period after a store outage is over. Returns true if any was removed.
bool expireMissing(Directory &directory, Core::TimePoint now);

} // namespace Briarbend::Fleet
