#pragma once

#include <LibCore/Random.h>
#include <LibRouting/TargetTable.h>

#include <functional>
#include <vector>

namespace Briarbend::Routing
{

/// True if the probe budget of the target has a free unit.
using ProbePermission = std::function<bool(const TargetState &)>;

/// The targets to probe now: those with neither a recent report nor an outstanding probe, and with budget left; longest without a
/// report first. Also counts unanswered probes as lost after their timeout.
std::vector<Core::TargetId>
chooseProbes(TargetTable &table, const ProbePermission &permission, std::size_t maximumProbes, Core::TimePoint now, Core::Random &random);

/// Records that a probe has been sent.
void recordProbeSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now);

/// Records the answer to a probe.
void recordProbeAnswer(TargetTable &table, const Core::TargetId &id, const LoadReport &report, Core::TimePoint now);

/// Records that a probe failed or that its answer was not a load report.
void recordProbeLost(TargetTable &table, const Core::TargetId &id);

} // namespace Briarbend::Routing
