#include <LibCore/RendezvousHash.h>
#include <LibRollout/Progress.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Rollout
{

namespace
{

/// Part of one target's slots that a burst of the trial occupies.
constexpr double BURST_OCCUPANCY = 0.9;

/// The trial at one moment.
struct TrialPlan {
    /// Share of the new version now.
    double share{0};
    /// Index of the sampled target that gets all of it; empty between bursts.
    std::optional<std::size_t> burstTarget;
};

double fractionAt(const RolloutState &state, Core::WallTime now)
{
    return std::clamp(elapsedFraction(state, now), 0.0, 1.0);
}

/// When the exposure of the trial is to be used up, as a fraction of the rollout's time: by its regular end, or later where targets have
/// become warm late.
double exposureEnd(const RolloutState &state)
{
    constexpr double SHORTEST_WARM_FRACTION = 0.2;
    const auto warm = state.warmSince ? fractionAt(state, *state.warmSince) : 0;
    return std::max(state.settings.trialFraction, std::min(state.settings.finalVerdictFraction, warm + SHORTEST_WARM_FRACTION));
}

/// Mean share of the new version that uses up what may be exposed.
double exposedShare(const RolloutState &state, const ExposureSettings &exposure, Core::WallTime now)
{
    const auto end = exposureEnd(state);
    if (fractionAt(state, now) >= end) {
        return exposure.allowed * exposure.extensionPart / (1 - state.settings.trialFraction);
    }
    const auto trial = exposure.allowed * exposure.trialPart;
    const auto mean = trial / state.settings.trialFraction;
    const auto coldShare = mean * exposure.coldFactor;
    if (!state.warmSince) {
        return coldShare;
    }
    // What the share while targets were cold has left is spent on warm ones. A restarted instance takes what came before as spent.
    const auto tracked = state.trackedSince ? fractionAt(state, *state.trackedSince) : 0;
    const auto warm = std::min(fractionAt(state, *state.warmSince), end);
    const auto spent = mean * tracked + coldShare * std::max(0.0, warm - tracked);
    return warm < end ? std::clamp((trial - spent) / (end - warm), 0.0, exposure.largestShare) : coldShare;
}

/// Bursts load one target at a time; the rest of the exposure is spread over all.
TrialPlan planOf(const RolloutState &state, const ExposureSettings &exposure, Core::WallTime now)
{
    const auto mean = std::min(exposure.largestShare, exposedShare(state, exposure, now));
    const auto burst = std::min(state.loadingShare, exposure.largestBurstShare);
    const auto burstFraction = burst > 0 ? std::min(exposure.largestBurstFraction, exposure.burstPart * mean / burst) : 0;
    if (burstFraction <= 0) {
        return {.share = mean, .burstTarget = {}};
    }
    const std::chrono::duration<double, std::milli> length = state.settings.burstLength;
    const auto period = std::chrono::duration_cast<std::chrono::milliseconds>(length / burstFraction);
    const auto passed = now - state.rollout.start;
    if (passed.count() < 0 || state.sampledNew.empty() || passed % period >= state.settings.burstLength) {
        return {.share = std::max(0.0, (mean - burst * burstFraction) / (1 - burstFraction)), .burstTarget = {}};
    }
    return {.share = burst, .burstTarget = static_cast<std::size_t>(passed / period) % state.sampledNew.size()};
}

/// Index of the sampled target that is in its burst now. Empty between bursts.
std::optional<std::size_t> burstTargetIndex(const RolloutState &state, Core::WallTime now)
{
    if (state.settings.exposure) {
        return planOf(state, *state.settings.exposure, now).burstTarget;
    }
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
    if (state.settings.exposure) {
        return planOf(state, *state.settings.exposure, now).share;
    }
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

double loadingShareOf(double slotsPerTarget, std::uint32_t running)
{
    return BURST_OCCUPANCY * slotsPerTarget / std::max<double>(1, running);
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
    if (!state.trackedSince) {
        state.trackedSince = now;
    }
    if (!state.warmSince && !newTargets.empty()) {
        state.warmSince = now;
    }
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
    const auto isDue = state.settings.requiresProof || elapsedFraction(state, now) >= state.settings.forcedRampFraction;
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
    if (!burstTarget && (state.settings.exposure || now < state.failuresSuspectUntil)) {
        return std::nullopt;
    }
    return burstTarget ? std::vector{state.sampledNew.at(*burstTarget)} : state.sampledNew;
}

} // namespace Briarbend::Rollout
