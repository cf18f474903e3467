#pragma once

#include <LibCore/Random.h>
#include <LibRouting/TargetTable.h>

#include <functional>
#include <vector>

namespace Briarbend::Routing
{

/// True where the probe budget of the target has a free unit.
using ProbePermission = std::function<bool(const TargetState &)>;

/// The targets to probe now: those without a recent report, no probe outstanding and budget left, longest without a report first.
/// Also takes probes without an answer in time as lost.
std::vector<Core::TargetId>
chooseProbes(TargetTable &table, const ProbePermission &permission, std::size_t maximumProbes, Core::TimePoint now, Core::Random &random);

/// Notes that a probe has been written.
void recordProbeSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now);

/// Notes the answer to a probe.
void recordProbeAnswer(TargetTable &table, const Core::TargetId &id, const LoadReport &report, Core::TimePoint now);

/// Notes that a probe failed or was answered with something else than a report.
void recordProbeLost(TargetTable &table, const Core::TargetId &id);

} // namespace Briarbend::Routing
