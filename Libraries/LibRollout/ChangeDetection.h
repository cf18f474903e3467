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
    /// Share of slow units that is always tolerated. A unit is one interval of one target, or several intervals where the target got few
    /// requests. It is slow where most of its requests were slow.
    double toleratedSlowUnitShare{0.15};
    std::uint32_t requestsPerUnit{2};
    /// Minimum number of targets of the new version with a slow unit, or all targets with a judged unit where these are fewer.
    std::size_t minimumSlowTargets{2};
};

struct Comparison {
    Fault fault{Fault::None};
    std::string faultRoute;
    /// Routes on which the evidence exceeds the suspicion threshold. The empty route stands for all routes together.
    std::set<std::string> suspectRoutes;
    /// True where failures caused a suspicion.
    bool isFailureSuspect{false};
};

/// Compares both versions over the retained intervals, over all routes together and route by route, and determines whether the new one is
/// worse. The route of a fault that shows over all routes together is empty.
///
/// Page, "Continuous inspection schemes" (1954): the test statistic is the largest log likelihood ratio over all starting intervals, so
/// that a fault which begins late is detected as fast as one at the start. The hypothesis of a good version is fitted to the old version in
/// the same intervals with a margin, so that noise in both versions cancels.
Comparison compare(const MemberEvidence &sum, const DetectionSettings &settings);

} // namespace Briarbend::Rollout
