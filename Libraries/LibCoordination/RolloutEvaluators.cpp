#include <LibCoordination/RolloutEvaluators.h>

#include <algorithm>

namespace Briarbend::Coordination
{

namespace
{

/// The second one takes over without a gap when the first one ends.
constexpr std::size_t EVALUATORS = 2;

} // namespace

std::vector<Core::InstanceId> rankForRollout(const Membership::State &members, const Core::ServiceName &service)
{
    return Membership::widestFirst(members, Membership::aliveMembers(members), "rollout/" + service.value);
}

void updateEvaluators(RolloutEvaluators &evaluators, const Membership::State &members, const Core::ServiceName &service)
{
    const auto fingerprint = Membership::aliveFingerprint(members);
    if (evaluators.membersFingerprint == fingerprint) {
        return;
    }
    evaluators.membersFingerprint = fingerprint;
    evaluators.instances = rankForRollout(members, service);
    evaluators.instances.resize(std::min(evaluators.instances.size(), EVALUATORS));
}

} // namespace Briarbend::Coordination
