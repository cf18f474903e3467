#include <LibFleet/Directory.h>

#include <algorithm>
#include <utility>

namespace Briarbend::Fleet
{

namespace
{

bool mayHaveExpiredLeases(const Directory &directory, Core::TimePoint now)
{
    return directory.outageEndedAt && now - *directory.outageEndedAt < REREGISTRATION_GRACE_PERIOD;
}

/// The self-report of the start, created if there is none.
SelfReport &selfReportOf(Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint now)
{
    auto &report = directory.selfReports[{name, startedAtMilliseconds}];
    report.reportedAt = now;
    return report;
}

bool isListed(const Directory &directory, const TargetStart &start)
{
    const auto found = directory.entries.find(start.name);
    return found != directory.entries.end() && found->second.record.startedAtMilliseconds == start.startedAtMilliseconds;
}

} // namespace

void recordStoreAnswer(Directory &directory, Core::TimePoint now)
{
    if (directory.storeLostSince && now - *directory.storeLostSince >= MINIMUM_LEASE_DURATION) {
        directory.outageEndedAt = now;
    }
    directory.storeLostSince.reset();
}

void recordStoreFailure(Directory &directory, Core::TimePoint now)
{
    if (!directory.storeLostSince) {
        directory.storeLostSince = now;
    }
}

void recordPendingRemovals(Directory &directory, std::size_t removals, Core::TimePoint now)
{
    if (removals > 0 && static_cast<double>(removals) >= MASS_EXPIRY_SHARE * static_cast<double>(directory.entries.size())) {
        directory.outageEndedAt = now;
    }
}

void recordStoreRestored(Directory &directory, Core::TimePoint now)
{
    directory.outageEndedAt = now;
}

void applyRecord(Directory &directory, const TargetRecord &record)
{
    auto &entry = directory.entries[record.name];
    const bool isSameStart = record.startedAtMilliseconds != 0 && entry.record.startedAtMilliseconds == record.startedAtMilliseconds;
    const bool wasLeaving = isSameStart && entry.record.isLeaving;
    entry = {.record = record, .missingSince = std::nullopt};
    entry.record.isLeaving = record.isLeaving || wasLeaving;
}

void applyRemoval(Directory &directory, const std::string &name, Core::TimePoint now)
{
    const auto found = directory.entries.find(name);
    if (found == directory.entries.end()) {
        return;
    }
    if (!mayHaveExpiredLeases(directory, now) || found->second.record.isLeaving) {
        directory.entries.erase(found);
    } else if (!found->second.missingSince) {
        found->second.missingSince = now;
    }
}

bool recordLeaving(Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint now)
{
    auto &report = selfReportOf(directory, name, startedAtMilliseconds, now);
    if (report.isLeaving) {
        return false;
    }
    report.isLeaving = true;
    report.leavingSince = now;
    return true;
}

void recordQuiet(
    Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, Core::TimePoint quietUntil, Core::TimePoint now)
{
    auto &report = selfReportOf(directory, name, startedAtMilliseconds, now);
    report.quietUntil = std::max(report.quietUntil, quietUntil);
}

bool recordRate(
    Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds, double requestsPerSecond, Core::TimePoint now)
{
    auto &rate = selfReportOf(directory, name, startedAtMilliseconds, now).rate;
    const bool isNew = !rate || rate->requestsPerSecond != requestsPerSecond;
    rate = StatedRate{.requestsPerSecond = requestsPerSecond, .statedAt = now, .sharedAt = isNew ? Core::TimePoint{} : rate->sharedAt};
    return isNew;
}

bool withdrawRate(Directory &directory, const std::string &name, std::int64_t startedAtMilliseconds)
{
    const auto known = directory.selfReports.find({name, startedAtMilliseconds});
    return known != directory.selfReports.end() && std::exchange(known->second.rate, std::nullopt).has_value();
}

const SelfReport *findSelfReport(const Directory &directory, const TargetRecord &record)
{
    const auto found = directory.selfReports.find({record.name, record.startedAtMilliseconds});
    return found == directory.selfReports.end() ? nullptr : &found->second;
}

std::vector<TargetStart> leavingTargets(const Directory &directory)
{
    std::vector<TargetStart> targets;
    for (const auto &[start, report] : directory.selfReports) {
        if (report.isLeaving) {
            targets.push_back(start);
        }
    }
    return targets;
}

void expireSelfReports(Directory &directory, Core::TimePoint now)
{
    std::erase_if(directory.selfReports, [&directory, now](const auto &entry) {
        const auto lastNeeded = std::max(entry.second.reportedAt, entry.second.quietUntil);
        return !isListed(directory, entry.first) && now - lastNeeded >= SELF_REPORT_RETENTION;
    });
}

bool expireMissing(Directory &directory, Core::TimePoint now)
{
    if (mayHaveExpiredLeases(directory, now)) {
        return false;
    }
    return std::erase_if(directory.entries,
                         [](const auto &entry) {
                             return entry.second.missingSince.has_value();
                         })
        > 0;
}

} // namespace Briarbend::Fleet
