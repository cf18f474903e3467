#pragma once

#include <LibFleet/ServiceState.h>

#include <map>
#include <string>
#include <vector>

namespace Briarbend::Fleet
{

/// Outcomes of one instance's requests to one target since its last report.
struct TargetOutcomes {
    TargetStart target;
    OutcomeCounts outcomes;
};

/// A target to which requests of several instances fail.
struct Suspect {
    TargetStart target;
    /// Share of the recent requests that failed.
    double failureShare{0};
};

/// Outcomes reported by the instances of a data centre, summed per target with exponential decay.
struct OutcomeTable {
    struct Entry {
        double failed{0};
        double answered{0};
        Core::TimePoint updatedAt;
        /// When each instance last reported a failure.
        std::map<std::string, Core::TimePoint> reporters;
    };

    std::map<TargetStart, Entry> entries;
};

/// Returns the outcomes of the service's targets since the last call.
std::vector<TargetOutcomes> takeOutcomes(ServiceState &service);

void addOutcomes(OutcomeTable &table, const std::string &reporter, const std::vector<TargetOutcomes> &outcomes, Core::TimePoint now);

/// Returns the targets for which more than one instance reports failures; a single instance may itself be at fault. Removes decayed
/// entries.
std::vector<Suspect> findSuspects(OutcomeTable &table, Core::TimePoint now);

/// Applies the failure share that other instances observed. It decays like the instance's own and only raises the cost of sending to the
/// target, so it does not exclude the target.
void applySuspect(ServiceState &service, const Suspect &suspect, Core::TimePoint now);

} // namespace Briarbend::Fleet
