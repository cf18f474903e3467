#include <LibCoordination/RolloutRoles.h>

#include <algorithm>

namespace Briarbend::Coordination
{

namespace
{

/// The second one takes over without a gap when the first one ends.
constexpr std::size_t EVALUATORS = 2;
constexpr std::size_t WRITERS = 6;

} // namespace

void updateRoles(RolloutRoles &roles, const Membership::State &members, const Core::ServiceName &service)
{
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (roles.membersFingerprint == fingerprint) {
        return;
    }
    roles.membersFingerprint = fingerprint;
    roles.writers = Membership::widestFirst(members, Membership::aliveMembers(members), "rollout/" + service.value);
    roles.writers.resize(std::min(roles.writers.size(), WRITERS));
    roles.evaluators = roles.writers;
    roles.evaluators.resize(std::min(roles.evaluators.size(), EVALUATORS));
}

} // namespace Briarbend::Coordination
