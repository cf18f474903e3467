#include <LibRouting/Probing.h>

#include <algorithm>

namespace Briarbend::Routing
{

namespace
{

bool needsProbe(const TargetTable &table, const TargetState &target, Core::TimePoint now)
{
    if (target.probe.outstandingSince) {
        return false;
    }
    const auto after = target.wasCold ? table.parameters.probeAfterCold : table.parameters.probeAfter;
    return !target.latestReport || now - target.latestReport->receivedAt >= after;
}

void expireProbes(TargetTable &table, Core::TimePoint now)
{
    for (auto &target : table.targets) {
        const auto &since = target.probe.outstandingSince;
        if (since && now - *since >= table.parameters.probeTimeout) {
            recordProbeLost(table, target.record.id);
        }
    }
}

} // namespace

std::vector<Core::TargetId>
chooseProbes(TargetTable &table, const ProbePermission &permission, std::size_t maximumProbes, Core::TimePoint now, Core::Random &random)
{
    expireProbes(table, now);
    struct ProbeCandidate {
        Core::TimePoint lastReport;
        std::uint64_t tieBreak;
        const TargetState *target;
    };
    std::vector<ProbeCandidate> candidates;
    for (const auto &target : table.targets) {
        if (needsProbe(table, target, now)) {
            candidates.push_back({target.latestReport ? target.latestReport->receivedAt : Core::TimePoint::min(), random.bits(), &target});
        }
    }
    std::ranges::sort(candidates, [](const ProbeCandidate &left, const ProbeCandidate &right) {
        return std::tie(left.lastReport, left.tieBreak) < std::tie(right.lastReport, right.tieBreak);
    });
    std::vector<Core::TargetId> chosen;
    for (const auto &candidate : candidates) {
        if (chosen.size() >= maximumProbes) {
            break;
        }
        if (permission(*candidate.target)) {
            chosen.push_back(candidate.target->record.id);
        }
    }
    return chosen;
}

void recordProbeSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now)
{
    if (auto *target = findTarget(table, id)) {
        target->probe.outstandingSince = now;
    }
}

void recordProbeAnswer(TargetTable &table, const Core::TargetId &id, const LoadReport &report, Core::TimePoint now)
{
    auto *target = findTarget(table, id);
    if (!target) {
        return;
    }
    target->probe = {};
    recordLoadReport(table, id, report, now);
}

void recordProbeLost(TargetTable &table, const Core::TargetId &id)
{
    if (auto *target = findTarget(table, id)) {
        target->probe.outstandingSince.reset();
        ++target->probe.consecutiveLosses;
    }
}

} // namespace Briarbend::Routing
