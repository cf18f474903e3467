#include <LibCore/RendezvousHash.h>
#include <LibRollout/Progress.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Rollout
{

namespace
{

/// Position in the list of sampled targets of the one whose burst it is; nothing between bursts.
std::optional<std::size_t> burstingTarget(const RolloutState &state, Core::WallTime now)
{
    if (now < state.move.start || state.sampledNew.empty()) {
        return std::nullopt;
    }
    const auto offset = (now - state.move.start) % state.settings.burstPeriod;
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
        const auto most = std::max(state.settings.largestSuspectShare, state.move.trialShare);
        return std::min(most, state.move.trialShare * state.settings.suspectFactor);
    }
    const std::chrono::duration<double> bursts = state.settings.burstLength * state.sampledNew.size();
    const auto burstPart = bursts / std::chrono::duration<double>{state.settings.burstPeriod};
    if (burstPart <= 0 || burstPart >= 1) {
        return state.move.trialShare;
    }
    const auto between = state.settings.shareBetweenBursts;
    if (!burstingTarget(state, now)) {
        const auto isOverdrawn = static_cast<double>(state.requestsToNew) > state.move.trialShare * static_cast<double>(state.requests);
        return state.move.trialShare * between * (isOverdrawn ? state.settings.repaymentFactor : 1);
    }
    return std::min(1.0, state.move.trialShare * (1 - between * (1 - burstPart)) / burstPart);
}

std::vector<Core::TargetId> sample(const RolloutState &state, const std::vector<Core::TargetId> &targets, Core::WallTime now)
{
    std::vector<std::string> names;
    std::ranges::transform(targets, std::back_inserter(names), &Core::TargetId::value);
    const auto slot = now.time_since_epoch() / state.settings.sampleLifetime;
    const auto key = state.move.service.value + "/" + state.move.to.value + "/" + std::to_string(slot);
    std::vector<Core::TargetId> sampled;
    std::ranges::transform(
        Core::rendezvousOrder(names, key, state.settings.sampledTargets), std::back_inserter(sampled), [](const std::string &name) {
            return Core::TargetId{name};
        });
    return sampled;
}

} // namespace

/// Part of the move's time that has passed; below zero before its start.
double position(const RolloutState &state, Core::WallTime now)
{
    const std::chrono::duration<double> whole = state.move.finishBy - state.move.start;
    const std::chrono::duration<double> passed = now - state.move.start;
    return whole.count() <= 0 ? 1.0 : passed / whole;
}

bool isProven(const RolloutState &state, const Cell &cell)
{
    const auto found = state.answers.find(cell);
    return found != state.answers.end() && found->second.ofNew >= state.settings.sufficientAnswers;
}

void setTargets(RolloutState &state,
                const std::vector<Core::TargetId> &oldTargets,
                const std::vector<Core::TargetId> &newTargets,
                Core::WallTime now)
{
    state.sampledOld = sample(state, oldTargets, now);
    state.sampledNew = sample(state, newTargets, now);
}

double shareOfNew(const RolloutState &state, const Cell &cell, Core::WallTime now)
{
    switch (state.status.phase) {
    case Phase::Waiting:
    case Phase::TakenBack:
        return 0;
    case Phase::Done:
        return 1;
    case Phase::Trial:
        return trialShare(state, cell.route, now);
    case Phase::Ramping:
        break;
    }
    const auto isDue = position(state, now) >= state.settings.latestRampFraction;
    return isDue || isProven(state, cell) ? state.settings.steps.at(state.status.step) : trialShare(state, cell.route, now);
}

Side chooseSide(const RolloutState &state, const Cell &cell, Core::WallTime now, Core::Random &random)
{
    return random.unit() < shareOfNew(state, cell, now) ? Side::New : Side::Old;
}

std::optional<std::vector<Core::TargetId>> allowedTargets(const RolloutState &state, Core::WallTime now)
{
    if (state.status.phase != Phase::Trial) {
        return std::nullopt;
    }
    const auto bursting = burstingTarget(state, now);
    if (!bursting && now < state.failuresSuspectUntil) {
        return std::nullopt;
    }
    return bursting ? std::vector{state.sampledNew.at(*bursting)} : state.sampledNew;
}

} // namespace Briarbend::Rollout
