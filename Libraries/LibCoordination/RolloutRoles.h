#pragma once

#include <LibMembership/Membership.h>

namespace Briarbend::Coordination
{

/// The live instances that work on one rollout for all others. Selected anew when the members change.
struct RolloutRoles {
    /// Differs whenever the members do.
    std::optional<std::size_t> membersFingerprint;
    /// They receive the evidence of all instances.
    std::vector<Core::InstanceId> evaluators;
    /// In the order in which they try to write the state of the rollout to the store, the evaluators first. They are more, since the store
    /// may refuse some instances.
    std::vector<Core::InstanceId> writers;
};

/// Selects the instances if the members have changed.
void updateRoles(RolloutRoles &roles, const Membership::State &members, const Core::ServiceName &service);

} // namespace Briarbend::Coordination
