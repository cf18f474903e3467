#include <LibRollout/Progress.h>
#include <LibRollout/Rollout.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Rollout
{

namespace
{

bool isActive(const RolloutState &state)
{
    return state.status.phase == Phase::Trial || state.status.phase == Phase::Ramping;
}

IntervalIndex intervalAt(const RolloutState &state, Core::WallTime now)
{
    return now.time_since_epoch() / state.settings.intervalLength;
}

/// True where all relevant segments are proven.
bool isEvidenceSufficient(const RolloutState &state)
{
    std::uint64_t total = 0;
    for (const auto &[segment, counts] : state.responses) {
        total += counts.oldSuccesses;
    }
    return total > 0 && std::ranges::all_of(state.responses, [&](const auto &entry) {
               const auto isRelevant
                   = static_cast<double>(entry.second.oldSuccesses) >= state.settings.relevantTrafficFraction * static_cast<double>(total);
               return !isRelevant || isProven(state, entry.first);
           });
}

/// The step that is due by the elapsed time.
std::uint32_t scheduledStep(const RolloutState &state, double elapsed)
{
    const auto count = state.settings.steps.size();
    const auto ramp = (elapsed - state.settings.trialFraction) / (state.settings.doneFraction - state.settings.trialFraction);
    const auto step = static_cast<std::size_t>(std::max(0.0, ramp) * static_cast<double>(count));
    return static_cast<std::uint32_t>(std::min(step, count - 1));
}

/// The status that follows from the elapsed time and from whether the evidence is sufficient, regardless of faults.
Status scheduledStatus(const RolloutState &state, Core::WallTime now)
{
    auto scheduled = state.status;
    const auto elapsed = elapsedFraction(state, now);
    if (elapsed < 0) {
        return scheduled;
    }
    scheduled.since = now;
    if (elapsed >= state.settings.doneFraction) {
        scheduled.phase = Phase::Done;
        scheduled.step = 0;
        return scheduled;
    }
    const auto mayRamp
        = elapsed >= state.settings.forcedRampFraction || (elapsed >= state.settings.trialFraction && isEvidenceSufficient(state));
    scheduled.phase = mayRamp ? Phase::Ramping : Phase::Trial;
    scheduled.step = mayRamp ? scheduledStep(state, elapsed) : 0;
    return scheduled;
}

/// Latency above which the response counts as slow, where it is known. Also records latencies of the old version in the baseline.
std::optional<std::chrono::microseconds> slowThreshold(RolloutState &state, const Observation &observation, Core::WallTime now)
{
    auto &reference = state.latencyBaselines[observation.segment.route];
    if (observation.role == VersionRole::Old) {
        reference.add(observation.latency, now);
    }
    return observation.slowThreshold ? observation.slowThreshold : reference.slowThreshold();
}

void countSuccess(ResponseCounts &responses, VersionRole role, bool isFast)
{
    ++(role == VersionRole::Old ? responses.oldSuccesses : responses.newSuccesses);
    if (isFast) {
        ++(role == VersionRole::Old ? responses.oldFastSuccesses : responses.newFastSuccesses);
    }
}

void countLatency(RolloutState &state,
                  const Observation &observation,
                  IntervalIndex interval,
                  std::optional<std::chrono::microseconds> threshold)
{
    const auto &sampled = observation.role == VersionRole::Old ? state.sampledOld : state.sampledNew;
    if (!threshold || std::ranges::find(sampled, observation.target) == sampled.end()) {
        return;
    }
    auto &counts = state.ownEvidence.latencies[{interval, observation.segment.route, observation.role, observation.target}];
    ++counts.requests;
    counts.slow += observation.latency > *threshold ? 1 : 0;
}

} // namespace

RolloutState::RolloutState(Configuration::Rollout configuredRollout, Core::InstanceId instance, Settings rolloutSettings)
    : rollout(std::move(configuredRollout))
    , self(std::move(instance))
    , settings(std::move(rolloutSettings))
    , status{.service = rollout.service,
             .from = rollout.from,
             .to = rollout.to,
             .start = rollout.start,
             .since = rollout.start,
             .faultRoute = {}}
{
}

void observe(RolloutState &state, const Observation &observation, Core::WallTime now)
{
    if (!isActive(state)) {
        return;
    }
    ++state.requests;
    state.hasUnreportedResponse = true;
    state.requestsToNew += observation.role == VersionRole::New ? 1 : 0;
    const auto interval = intervalAt(state, now);
    auto &failures = state.ownEvidence.failures[{interval, observation.segment.route, observation.role}];
    ++failures.requests;
    auto &responses = state.ownEvidence.responses[observation.segment];
    if (!observation.isCold) {
        ++(observation.role == VersionRole::Old ? responses.requestsToOld : responses.requestsToNew);
    }
    if (observation.isFailure) {
        ++failures.failures;
        state.hasUnreportedFailure = state.hasUnreportedFailure || observation.role == VersionRole::New;
        return;
    }
    if (observation.isCold) {
        return;
    }
    const auto threshold = slowThreshold(state, observation, now);
    countSuccess(responses, observation.role, !threshold || observation.latency <= *threshold);
    countLatency(state, observation, interval, threshold);
}

bool isEvidenceUrgent(RolloutState &state, Core::WallTime now)
{
    const auto isUnderSuspicion = std::ranges::any_of(state.suspectRoutes, [now](const auto &entry) {
        return now < entry.second;
    });
    const auto isUrgent = isActive(state) && (state.hasUnreportedFailure || (isUnderSuspicion && state.hasUnreportedResponse));
    if (!isUrgent || now < state.nextUrgentAt) {
        return false;
    }
    state.hasUnreportedFailure = false;
    state.hasUnreportedResponse = false;
    state.nextUrgentAt = now + state.settings.minimumUrgentInterval;
    return true;
}

bool isEvaluationDue(const RolloutState &state, Core::WallTime now)
{
    return now >= state.nextEvaluationAt;
}

std::optional<Status> advanceRollout(RolloutState &state, Core::WallTime now)
{
    const auto members = state.peerEvidence.size() + 1;
    state.nextEvaluationAt = now
        + std::max(state.settings.minimumEvaluationInterval,
                   std::chrono::duration_cast<std::chrono::milliseconds>(state.settings.evaluationIntervalPerMember * members));
    const auto oldest = intervalAt(state, now) - state.settings.retainedIntervals;
    pruneBefore(state.ownEvidence, oldest);
    auto sum = state.ownEvidence;
    for (auto &[member, evidence] : state.peerEvidence) {
        pruneBefore(evidence, oldest);
        add(sum, evidence);
    }
    state.responses = sum.responses;

    const auto before = state.status;
    auto scheduled = scheduledStatus(state, now);
    if (isActive(state)) {
        const auto comparison = compare(sum, state.settings.detection);
        for (const auto &route : comparison.suspectRoutes) {
            state.suspectRoutes[route] = now + state.settings.suspicionLifetime;
        }
        if (comparison.isFailureSuspect) {
            state.failuresSuspectUntil = now + state.settings.suspicionLifetime;
        }
        if (comparison.fault != Fault::None) {
            scheduled.phase = Phase::RolledBack;
            scheduled.fault = comparison.fault;
            scheduled.faultRoute = comparison.faultRoute;
        }
    }
    // Merging keeps the phase and step from going backwards, and keeps the first time at which they were reached.
    state.status = merge(before, scheduled);
    const auto isChanged = state.status.phase != before.phase || state.status.step != before.step;
    return isChanged ? std::optional{state.status} : std::nullopt;
}

ResponseCounts totalResponses(const RolloutState &state)
{
    ResponseCounts sum;
    for (const auto &[segment, counts] : state.responses) {
        add(sum, counts);
    }
    return sum;
}

bool isUnproven(const RolloutState &state)
{
    const auto sum = totalResponses(state);
    if (sum.requestsToOld < state.settings.minimumSuccesses) {
        return false;
    }
    const auto oldShare = static_cast<double>(sum.oldFastSuccesses) / static_cast<double>(sum.requestsToOld);
    const auto requiredFastSuccesses = state.settings.minimumFastShareRatio * oldShare * static_cast<double>(sum.requestsToNew);
    return sum.newFastSuccesses < state.settings.minimumSuccesses || static_cast<double>(sum.newFastSuccesses) < requiredFastSuccesses;
}

std::optional<Status> rollBack(RolloutState &state, Fault fault, Core::WallTime now)
{
    if (!isActive(state)) {
        return std::nullopt;
    }
    state.status.phase = Phase::RolledBack;
    state.status.fault = fault;
    state.status.since = now;
    return state.status;
}

const MemberEvidence &nextEvidence(RolloutState &state)
{
    ++state.ownEvidence.revision;
    state.hasUnreportedFailure = false;
    state.hasUnreportedResponse = false;
    return state.ownEvidence;
}

void mergeEvidence(RolloutState &state, const Core::InstanceId &member, const MemberEvidence &evidence)
{
    if (member == state.self) {
        return;
    }
    auto &known = state.peerEvidence[member];
    if (evidence.revision > known.revision) {
        known = evidence;
    }
}

bool mergeStatus(RolloutState &state, const Status &status)
{
    if (!isSameRollout(state.status, status)) {
        return false;
    }
    const auto merged = merge(state.status, status);
    const auto isChanged = merged != state.status;
    state.status = merged;
    return isChanged;
}

} // namespace Briarbend::Rollout
