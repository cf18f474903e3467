#include <LibCore/RendezvousHash.h>
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

BlockNumber blockAt(const RolloutState &state, Core::WallTime now)
{
    return now.time_since_epoch() / state.settings.block;
}

/// True where all cells that matter are proven.
bool isEvidenceSufficient(const RolloutState &state)
{
    std::uint64_t total = 0;
    for (const auto &[segment, counts] : state.responses) {
        total += counts.ofOld;
    }
    return total > 0 && std::ranges::all_of(state.responses, [&](const auto &entry) {
               const auto isRelevant = static_cast<double>(entry.second.ofOld) >= state.settings.relevantPart * static_cast<double>(total);
               return !isRelevant || isProven(state, entry.first);
           });
}

/// The step that the time asks for.
std::uint32_t dueStep(const RolloutState &state, double at)
{
    const auto count = state.settings.steps.size();
    const auto ramp = (at - state.settings.trialFraction) / (state.settings.doneFraction - state.settings.trialFraction);
    const auto step = static_cast<std::size_t>(std::max(0.0, ramp) * static_cast<double>(count));
    return static_cast<std::uint32_t>(std::min(step, count - 1));
}

/// The status by time and sufficiency alone.
Status dueStatus(const RolloutState &state, Core::WallTime now)
{
    auto due = state.status;
    const auto at = position(state, now);
    if (at < 0) {
        return due;
    }
    due.since = now;
    if (at >= state.settings.doneFraction) {
        due.phase = Phase::Done;
        due.step = 0;
        return due;
    }
    const auto mayRamp = at >= state.settings.forcedRampFraction || (at >= state.settings.trialFraction && isEvidenceSufficient(state));
    due.phase = mayRamp ? Phase::Ramping : Phase::Trial;
    due.step = mayRamp ? dueStep(state, at) : 0;
    return due;
}

/// Latency above which the answer counts as slow, where it is known. Notes responses of the old version for it.
std::optional<std::chrono::microseconds> slowThreshold(RolloutState &state, const Observation &observation, Core::WallTime now)
{
    auto &reference = state.references[observation.segment.route];
    if (observation.role == VersionRole::Old) {
        reference.add(observation.latency, now);
    }
    return observation.slowThreshold ? observation.slowThreshold : reference.slowThreshold();
}

void countAnswer(ResponseCounts &responses, VersionRole role, bool isInTime)
{
    ++(role == VersionRole::Old ? responses.ofOld : responses.ofNew);
    if (isInTime) {
        ++(role == VersionRole::Old ? responses.oldFastSuccesses : responses.newFastSuccesses);
    }
}

void countLatency(RolloutState &state,
                  const Observation &observation,
                  BlockNumber block,
                  std::optional<std::chrono::microseconds> threshold)
{
    const auto &sampled = observation.role == VersionRole::Old ? state.sampledOld : state.sampledNew;
    if (!threshold || std::ranges::find(sampled, observation.target) == sampled.end()) {
        return;
    }
    auto &counts = state.own.latencies[{block, observation.segment.route, observation.role, observation.target}];
    ++counts.requests;
    counts.slow += observation.latency > *threshold ? 1 : 0;
}

} // namespace

RolloutState::RolloutState(Configuration::Rollout configuredMove, Core::InstanceId instance, Settings moveSettings)
    : rollout(std::move(configuredMove))
    , self(std::move(instance))
    , settings(std::move(moveSettings))
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
    state.requestsToNew += observation.role == VersionRole::New ? 1 : 0;
    const auto block = blockAt(state, now);
    auto &failures = state.own.failures[{block, observation.segment.route, observation.role}];
    ++failures.requests;
    auto &responses = state.own.responses[observation.segment];
    if (!observation.isCold) {
        ++(observation.role == VersionRole::Old ? responses.requestsToOld : responses.requestsToNew);
    }
    if (observation.isFailure) {
        ++failures.failures;
        state.hasNewFailure = state.hasNewFailure || observation.role == VersionRole::New;
        return;
    }
    if (observation.isCold) {
        return;
    }
    const auto threshold = slowThreshold(state, observation, now);
    countAnswer(responses, observation.role, !threshold || observation.latency <= *threshold);
    countLatency(state, observation, block, threshold);
}

bool isEvidenceUrgent(RolloutState &state, Core::WallTime now)
{
    const auto isUnderSuspicion = std::ranges::any_of(state.suspectRoutes, [now](const auto &entry) {
        return now < entry.second;
    });
    const auto isUrgent = isActive(state) && (state.hasNewFailure || isUnderSuspicion);
    if (!isUrgent || now < state.urgentAfter) {
        return false;
    }
    state.hasNewFailure = false;
    state.urgentAfter = now + state.settings.urgentInterval;
    return true;
}

std::vector<Core::InstanceId> evaluators(const RolloutState &state, const std::vector<Core::InstanceId> &members)
{
    std::vector<std::string> names;
    std::ranges::transform(members, std::back_inserter(names), &Core::InstanceId::value);
    std::vector<Core::InstanceId> chosen;
    std::ranges::transform(Core::rendezvousOrder(names, "rollout/" + state.rollout.service.value, state.settings.evaluatorCount),
                           std::back_inserter(chosen),
                           [](const std::string &name) {
                               return Core::InstanceId{name};
                           });
    return chosen;
}

std::optional<Status> advanceRollout(RolloutState &state, Core::WallTime now)
{
    const auto oldest = blockAt(state, now) - state.settings.retainedIntervals;
    forgetBefore(state.own, oldest);
    auto sum = state.own;
    for (auto &[member, evidence] : state.others) {
        forgetBefore(evidence, oldest);
        add(sum, evidence);
    }
    state.responses = sum.responses;

    const auto before = state.status;
    auto due = dueStatus(state, now);
    if (isActive(state)) {
        const auto comparison = compare(sum, state.settings.detection);
        for (const auto &route : comparison.suspectRoutes) {
            state.suspectRoutes[route] = now + state.settings.suspicionLifetime;
        }
        if (comparison.isFailureSuspect) {
            state.failuresSuspectUntil = now + state.settings.suspicionLifetime;
        }
        if (comparison.fault != Fault::None) {
            due.phase = Phase::RolledBack;
            due.fault = comparison.fault;
            due.faultRoute = comparison.faultRoute;
        }
    }
    // Merging keeps the phase and step from falling back, and the first time at which they were reached.
    state.status = merge(before, due);
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
    const auto shareOfOld = static_cast<double>(sum.oldFastSuccesses) / static_cast<double>(sum.requestsToOld);
    const auto wanted = state.settings.provenPart * shareOfOld * static_cast<double>(sum.requestsToNew);
    return sum.newFastSuccesses < state.settings.minimumSuccesses || static_cast<double>(sum.newFastSuccesses) < wanted;
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
    ++state.own.revision;
    return state.own;
}

void mergeEvidence(RolloutState &state, const Core::InstanceId &member, const MemberEvidence &evidence)
{
    if (member == state.self) {
        return;
    }
    auto &known = state.others[member];
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
