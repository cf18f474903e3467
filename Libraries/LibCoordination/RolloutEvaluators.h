#pragma once

#include <LibMembership/Membership.h>

namespace Briarbend::Coordination
{

/// Live instances in the order in which they take on the work of one service's rollout.
std::vector<Core::InstanceId> rankForRollout(const Membership::State &members, const Core::ServiceName &service);

/// The evaluators of one rollout: they receive the evidence of all instances. Selected anew when the members change.
struct RolloutEvaluators {
    /// Differs whenever the members do.
    std::optional<std::size_t> membersFingerprint;
    std::vector<Core::InstanceId> instances;
};

/// Selects the evaluators if the members have changed.
void updateEvaluators(RolloutEvaluators &evaluators, const Membership::State &members, const Core::ServiceName &service);

} // namespace Briarbend::Coordination
