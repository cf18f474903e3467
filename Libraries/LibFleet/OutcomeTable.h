#pragma once

#include <LibFleet/ServiceState.h>

#include <map>
#include <string>
#include <vector>

namespace Briarbend::Fleet
{

/// How requests of one instance ended at one target since it last said so.
struct TargetOutcomes {
    TargetStart target;
    OutcomeCounts outcomes;
};

/// A target at which requests of several instances fail.
struct Suspect {
    TargetStart target;
    /// Share of the requests that failed lately.
    double failureShare{0};
};

/// Evidence of the instances of a data centre, summed and forgotten with time.
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

/// The outcomes at the book's targets since the last call.
std::vector<TargetOutcomes> takeOutcomes(ServiceState &service);

void addOutcomes(OutcomeTable &table, const std::string &reporter, const std::vector<TargetOutcomes> &outcomes, Core::TimePoint now);

/// Targets that fail by the word of more than one instance, since a single one may have trouble of its own. Forgets what is old.
std::vector<Suspect> findSuspects(OutcomeTable &table, Core::TimePoint now);

/// Takes over what the other instances' requests showed. Not obeyed blindly: it is forgotten like the instance's own failures, and only
/// raises what a send to the target is expected to cost.
void applySuspect(ServiceState &service, const Suspect &suspect, Core::TimePoint now);

} // namespace Briarbend::Fleet
