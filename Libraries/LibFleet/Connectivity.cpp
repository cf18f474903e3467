#include <LibFleet/Connectivity.h>

#include <algorithm>
#include <utility>

namespace Briarbend::Fleet
{

std::optional<Core::Duration> recordHeard(Connectivity &connectivity, Core::TimePoint now)
{
    const auto since = std::exchange(connectivity.cutOffSince, std::nullopt);
    connectivity.unreachable.clear();
    if (since) {
        connectivity.regainedAt = now;
    }
    return since ? std::optional<Core::Duration>(now - *since) : std::nullopt;
}

bool recordUnreachable(Connectivity &connectivity, const std::string &target, std::size_t knownTargets, Core::TimePoint now)
{
    if (connectivity.unreachable.empty()) {
        connectivity.unreachableSince = now;
    }
    connectivity.unreachable.insert(target);
    const auto needed = std::min(UNREACHABLE_TARGETS_WHEN_CUT_OFF, std::max<std::size_t>(1, knownTargets));
    const bool isConclusive = connectivity.unreachable.size() >= needed && now - connectivity.unreachableSince >= SILENCE_WHEN_CUT_OFF;
    if (connectivity.cutOffSince || !isConclusive) {
        return false;
    }
    connectivity.cutOffSince = connectivity.unreachableSince;
    return true;
}

bool isCutOff(const Connectivity &connectivity)
{
    return connectivity.cutOffSince.has_value();
}

bool explainsLoss(const Connectivity &connectivity, Core::TimePoint sentAt)
{
    return isCutOff(connectivity) || (connectivity.regainedAt && sentAt <= *connectivity.regainedAt);
}

bool mayBeCutOff(const Connectivity &connectivity)
{
    return isCutOff(connectivity) || connectivity.unreachable.size() > 1;
}

} // namespace Briarbend::Fleet
