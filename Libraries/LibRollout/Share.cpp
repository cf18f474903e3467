#include <LibCore/RendezvousHash.h>
#include <LibRollout/Progress.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Rollout
{

namespace
{

/// Index of the sampled target that is in its burst now. Empty between bursts.
std::optional<std::size_t> burstTargetIndex(const RolloutState &state, Core::WallTime now)
{
    if (now < state.rollout.start || state.sampledNew.empty()) {
        return std::nullopt;
    }
    const auto offset = (now - state.rollout.start) % state.settings.burstPeriod;
    const auto turn = static_cast<std::size_t>(offset / state.settings.burstLength);
    return turn < state.sampledNew.size() ? std::optional{turn} : std::nullopt;
}

bool isSuspect(const RolloutState &state, const std::string &route, Core::WallTime now)
{
    return std::ranges::any_of(state.suspectRoutes, [&](const auto &entry) {
        return (entry.first == route || entry.first.empty()) && now < entry.second;
    });
}

double trialShare(const RolloutState &state, const std::string &route, Core::WallTime now)
{
    if (isSuspect(state, route, now)) {
        const auto most = std::max(state.settings.largestSuspectShare, state.rollout.trialShare);
        return std::min(most, state.rollout.trialShare * state.settings.suspectShareFactor);
    }
    const std::chrono::duration<double> bursts = state.settings.burstLength * state.sampledNew.size();
    const auto burstPart = bursts / std::chrono::duration<double>{state.settings.burstPeriod};
    if (burstPart <= 0 || burstPart >= 1) {
        return state.rollout.trialShare;
    }
    const auto between = state.settings.betweenBurstsShareFactor;
    if (!burstTargetIndex(state, now)) {
        const auto isOverspent = static_cast<double>(state.requestsToNew) > state.rollout.trialShare * static_cast<double>(state.requests);
        return state.rollout.trialShare * between * (isOverspent ? state.settings.overspentShareFactor : 1);
    }
    return std::min(1.0, state.rollout.trialShare * (1 - between * (1 - burstPart)) / burstPart);
}

std::vector<Core::TargetId> sampleTargets(const RolloutState &state, const std::vector<Core::TargetId> &targets, Core::WallTime now)
{
    std::vector<std::string> names;
    std::ranges::transform(targets, std::back_inserter(names), &Core::TargetId::value);
    const auto slot = now.time_since_epoch() / state.settings.sampleLifetime;
    const auto key = state.rollout.service.value + "/" + state.rollout.to.value + "/" + std::to_string(slot);
    std::vector<Core::TargetId> sampled;
    std::ranges::transform(
        Core::rendezvousOrder(names, key, state.settings.sampledTargets), std::back_inserter(sampled), [](const std::string &name) {
            return Core::TargetId{name};
        });
    return sampled;
}

} // namespace

double elapsedFraction(const RolloutState &state, Core::WallTime now)
{
    const std::chrono::duration<double> whole = state.rollout.finishBy - state.rollout.start;
    const std::chrono::duration<double> passed = now - state.rollout.start;
    return whole.count() <= 0 ? 1.0 : passed / whole;
}

bool isProven(const RolloutState &state, const TrafficSegment &segment)
{
    const auto found = state.responses.find(segment);
    return found != state.responses.end() && found->second.newSuccesses >= state.settings.minimumSuccesses;
}

void setTargets(RolloutState &state,
                const std::vector<Core::TargetId> &oldTargets,
                const std::vector<Core::TargetId> &newTargets,
                Core::WallTime now)
{
    state.sampledOld = sampleTargets(state, oldTargets, now);
    state.sampledNew = sampleTargets(state, newTargets, now);
}

double newVersionShare(const RolloutState &state, const TrafficSegment &segment, Core::WallTime now)
{
    switch (state.status.phase) {
    case Phase::Waiting:
    case Phase::RolledBack:
        return 0;
    case Phase::Done:
        return 1;
    case Phase::Trial:
        return trialShare(state, segment.route, now);
    case Phase::Ramping:
        break;
    }
    const auto isDue = elapsedFraction(state, now) >= state.settings.forcedRampFraction;
    return isDue || isProven(state, segment) ? state.settings.steps.at(state.status.step) : trialShare(state, segment.route, now);
}

VersionRole chooseVersion(const RolloutState &state, const TrafficSegment &segment, Core::WallTime now, Core::Random &random)
{
    return random.unit() < newVersionShare(state, segment, now) ? VersionRole::New : VersionRole::Old;
}

std::optional<std::vector<Core::TargetId>> allowedTargets(const RolloutState &state, Core::WallTime now)
{
    if (state.status.phase != Phase::Trial) {
        return std::nullopt;
    }
    const auto burstTarget = burstTargetIndex(state, now);
    if (!burstTarget && now < state.failuresSuspectUntil) {
        return std::nullopt;
    }
    return burstTarget ? std::vector{state.sampledNew.at(*burstTarget)} : state.sampledNew;
}

} // namespace Briarbend::Rollout
