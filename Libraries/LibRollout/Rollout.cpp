#include <LibCore/RendezvousHash.h>
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

/// Part of the move's time that has passed; below zero before its start.
double position(const RolloutState &state, Core::WallTime now)
{
    const std::chrono::duration<double> whole = state.move.finishBy - state.move.start;
    const std::chrono::duration<double> passed = now - state.move.start;
    return whole.count() <= 0 ? 1.0 : passed / whole;
}

BlockNumber blockAt(const RolloutState &state, Core::WallTime now)
{
    return now.time_since_epoch() / state.settings.block;
}

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
        return std::min(state.settings.largestSuspectShare, state.move.trialShare * state.settings.suspectFactor);
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

bool isProven(const RolloutState &state, const Cell &cell)
{
    const auto found = state.answers.find(cell);
    return found != state.answers.end() && found->second.ofNew >= state.settings.sufficientAnswers;
}

/// True where all cells that matter are proven.
bool isEvidenceSufficient(const RolloutState &state)
{
    std::uint64_t total = 0;
    for (const auto &[cell, counts] : state.answers) {
        total += counts.ofOld;
    }
    return total > 0 && std::ranges::all_of(state.answers, [&](const auto &entry) {
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
    const auto mayRamp = at >= state.settings.latestRampFraction || (at >= state.settings.trialFraction && isEvidenceSufficient(state));
    due.phase = mayRamp ? Phase::Ramping : Phase::Trial;
    due.step = mayRamp ? dueStep(state, at) : 0;
    return due;
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

void countLatency(RolloutState &state, const Observation &observation, BlockNumber block, Core::WallTime now)
{
    auto &reference = state.references[observation.cell.route];
    if (observation.side == Side::Old) {
        reference.add(observation.latency, now);
    }
    const auto threshold = reference.slowThreshold();
    const auto &sampled = observation.side == Side::Old ? state.sampledOld : state.sampledNew;
    if (!threshold || std::ranges::find(sampled, observation.target) == sampled.end()) {
        return;
    }
    auto &counts = state.own.latencies[{block, observation.cell.route, observation.side, observation.target}];
    ++counts.requests;
    counts.slow += observation.latency > *threshold ? 1 : 0;
}

} // namespace

RolloutState::RolloutState(Configuration::Rollout configuredMove, Core::InstanceId instance, Settings moveSettings)
    : move(std::move(configuredMove))
    , self(std::move(instance))
    , settings(std::move(moveSettings))
    , status{.service = move.service, .from = move.from, .to = move.to, .start = move.start, .since = move.start, .faultRoute = {}}
{
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

void observe(RolloutState &state, const Observation &observation, Core::WallTime now)
{
    if (!isActive(state)) {
        return;
    }
    ++state.requests;
    state.requestsToNew += observation.side == Side::New ? 1 : 0;
    const auto block = blockAt(state, now);
    auto &failures = state.own.failures[{block, observation.cell.route, observation.side}];
    ++failures.requests;
    if (observation.isFailure) {
        ++failures.failures;
        state.hasNewFailure = state.hasNewFailure || observation.side == Side::New;
        return;
    }
    if (observation.isCold) {
        return;
    }
    auto &answers = state.own.answers[observation.cell];
    ++(observation.side == Side::Old ? answers.ofOld : answers.ofNew);
    countLatency(state, observation, block, now);
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

std::vector<Core::InstanceId> judges(const RolloutState &state, const std::vector<Core::InstanceId> &members)
{
    std::vector<std::string> names;
    std::ranges::transform(members, std::back_inserter(names), &Core::InstanceId::value);
    std::vector<Core::InstanceId> chosen;
    std::ranges::transform(Core::rendezvousOrder(names, "rollout/" + state.move.service.value, state.settings.judges),
                           std::back_inserter(chosen),
                           [](const std::string &name) {
                               return Core::InstanceId{name};
                           });
    return chosen;
}

std::optional<Status> decide(RolloutState &state, Core::WallTime now)
{
    const auto oldest = blockAt(state, now) - state.settings.retainedBlocks;
    forgetBefore(state.own, oldest);
    auto sum = state.own;
    for (auto &[member, evidence] : state.others) {
        forgetBefore(evidence, oldest);
        add(sum, evidence);
    }
    state.answers = sum.answers;

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
            due.phase = Phase::TakenBack;
            due.fault = comparison.fault;
            due.faultRoute = comparison.faultRoute;
        }
    }
    // Merging keeps the phase and step from falling back, and the first time at which they were reached.
    state.status = merge(before, due);
    const auto isChanged = state.status.phase != before.phase || state.status.step != before.step;
    return isChanged ? std::optional{state.status} : std::nullopt;
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
    if (!isSameMove(state.status, status)) {
        return false;
    }
    const auto merged = merge(state.status, status);
    const auto isChanged = merged != state.status;
    state.status = merged;
    return isChanged;
}

} // namespace Briarbend::Rollout
