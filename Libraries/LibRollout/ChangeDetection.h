#pragma once

#include <LibRollout/Evidence.h>
#include <LibRollout/Status.h>

#include <set>
#include <string>

namespace Briarbend::Rollout
{

/// Settings of the comparison. The thresholds are natural logarithms of likelihood ratios.
struct DetectionSettings {
    double failureThreshold{9.2};
    double slownessThreshold{8.8};
    double suspicionThreshold{2.0};
    /// Share of failures that is always tolerated.
    double toleratedFailureShare{0.003};
    /// Share of slow units that is always tolerated. A unit is one interval of one target, or several where it got few requests; it is
    /// slow where most of its requests were.
    double toleratedSlowUnitShare{0.15};
    std::uint32_t requestsPerUnit{2};
    /// Targets of the new version that must have been slow, if as many were seen.
    std::size_t minimumSlowTargets{2};
};

struct Comparison {
    Fault fault{Fault::None};
    std::string faultRoute;
    /// Routes on which the evidence has begun to speak against the new version; the empty one stands for all together.
    std::set<std::string> suspectRoutes;
    /// True where failures gave rise to a suspicion.
    bool isFailureSuspect{false};
};

/// Compares both versions within the retained intervals, over all routes and route by route, and tells whether the new one is worse. The
/// route of a fault that shows on all of them is empty.
///
/// Page, "Continuous inspection schemes" (1954): the largest log likelihood ratio over all starting intervals, so that a fault which
/// begins late is seen as fast as one at the start. The hypothesis of a good version is fitted to the old version in the same
/// intervals with a margin, so that noise on both sides cancels.
Comparison compare(const MemberEvidence &sum, const DetectionSettings &settings);

} // namespace Briarbend::Rollout
