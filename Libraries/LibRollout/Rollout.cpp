#include <LibRollout/Progress.h>
#include <LibRollout/Rollout.h>

#include <algorithm>
#include <iterator>

namespace Briarbend::Rollout
{

namespace
{

/// True while responses are counted and both versions are compared.
bool isActive(const RolloutState &state)
{
    const auto phase = state.status.phase;
    return phase == Phase::Trial || phase == Phase::Ramping || (phase == Phase::Done && state.settings.requiresProof);
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
    if (state.settings.requiresProof && !state.status.isProven) {
        scheduled.phase = Phase::Trial;
        scheduled.step = 0;
        return scheduled;
    }
    if (elapsed >= state.settings.doneFraction) {
        scheduled.phase = Phase::Done;
        scheduled.step = 0;
        return scheduled;
    }
    const auto mayRamp = state.settings.requiresProof || elapsed >= state.settings.forcedRampFraction
        || (elapsed >= state.settings.trialFraction && isEvidenceSufficient(state));
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

/// A target with few free slots may take twice as long.
std::chrono::microseconds comparableLatency(std::chrono::microseconds latency, bool isBusy)
{
    constexpr double BUSY_SLOWDOWN = 2;
    return isBusy ? std::chrono::duration_cast<std::chrono::microseconds>(latency / BUSY_SLOWDOWN) : latency;
}

AnswerGroup answerGroupOf(const Observation &observation)
{
    const auto isNew = observation.role == VersionRole::New;
    return {.route = observation.segment.route, .role = observation.role, .target = isNew ? observation.target : Core::TargetId{}};
}

/// Whether answers count for the verdict.
bool isJudged(const RolloutState &state)
{
    return state.settings.requiresProof && state.status.phase == Phase::Trial;
}

void countAnswer(RolloutState &state, const Observation &observation, Core::WallTime now)
{
    const auto group = answerGroupOf(observation);
    if (observation.isFailure) {
        ++state.ownEvidence.answers[group].failures;
    } else if (observation.isCold) {
        ++state.ownEvidence.answers[group].coldSuccesses;
    } else {
        state.recentAnswers.push_back({.group = group,
                                       .sentAt = now - std::chrono::duration_cast<std::chrono::milliseconds>(observation.latency),
                                       .bucket = latencyBucketOf(comparableLatency(observation.latency, observation.isBusy))});
    }
}

/// Counts the answers to requests that have become old enough.
void countMatureAnswers(RolloutState &state, Core::WallTime now)
{
    std::erase_if(state.recentAnswers, [&state, now](const RecentAnswer &answer) {
        const bool isMature = now - answer.sentAt >= state.settings.maturity;
        if (isMature) {
            ++state.ownEvidence.answers[answer.group].successes[answer.bucket];
        }
        return isMature;
    });
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
    counts.slow += comparableLatency(observation.latency, observation.isBusy) > *threshold ? 1 : 0;
}

} // namespace

Settings deadlineSettings()
{
    Settings settings;
    settings.retainedIntervals = 40;
    settings.trialFraction = 0.55;
    settings.doneFraction = 0.8;
    settings.steps = {0.2, 0.4, 0.7};
    settings.sampledTargets = 6;
    settings.requiresProof = true;
    return settings;
}

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
    if (isJudged(state)) {
        countAnswer(state, observation, now);
    }
    if (observation.isCutShort) {
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
    MemberEvidence sum;
    add(sum, state.ownEvidence);
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
        // Without requests to the old version beside it, the new one is compared with what that had before, perhaps under less load.
        const bool isComparable = state.status.phase != Phase::Done || comparison.fault == Fault::Failures;
        if (comparison.fault != Fault::None && isComparable) {
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

namespace
{

std::optional<Status> recordProof(RolloutState &state, Core::WallTime now)
{
    state.status.isProven = true;
    state.status.since = now;
    return state.status;
}

/// Adds the requests that have waited for long, as if they were answered now.
void addPending(std::map<AnswerGroup, AnswerCounts> &answers, const RolloutState &state, Core::WallTime now)
{
    for (const auto &[number, request] : state.pending->requests) {
        const auto waited = now - request.sentAt;
        if (waited >= state.settings.maturity) {
            ++answers[request.group].successes[latencyBucketOf(comparableLatency(waited, request.isBusy))];
        }
    }
}

Verdict verdictOf(RolloutState &state, Core::WallTime now, EvidenceScope scope)
{
    countMatureAnswers(state, now);
    auto sum = state.ownEvidence.answers;
    addPending(sum, state, now);
    for (const auto &[member, evidence] : state.peerEvidence) {
        if (scope != EvidenceScope::Own) {
            add(sum, evidence.answers);
        }
    }
    // Links of a few instances may be at fault where a target never answers well; those of all instances are not.
    return judge(sum, state.settings.verdict, scope == EvidenceScope::All ? SilentTargets::Counted : SilentTargets::LeftOut);
}

} // namespace

std::optional<Status> judgeTrial(RolloutState &state, Core::WallTime now, const EvidenceCoverage &coverage)
{
    if (!isJudged(state) || state.status.isProven) {
        return std::nullopt;
    }
    if (now >= state.rollout.finishBy) {
        return rollBack(state, Fault::Unproven, now);
    }
    if (now < state.nextVerdictAt) {
        return std::nullopt;
    }
    const bool isOwn = coverage.scope == EvidenceScope::Own;
    state.nextVerdictAt = now + (isOwn ? state.settings.ownVerdictInterval : state.settings.verdictInterval);
    state.verdict = verdictOf(state, now, coverage.scope);
    const auto &verdict = state.verdict;
    const auto &settings = state.settings.verdict;
    const auto elapsed = elapsedFraction(state, now);
    const bool isFinal = elapsed >= state.settings.finalVerdictFraction;
    const auto significance = isFinal ? settings.finalSignificance : settings.immediateSignificance;
    if (verdict.significance < significance / static_cast<double>(std::max<std::size_t>(1, coverage.judges))) {
        state.status.faultRoute = verdict.route;
        return rollBack(state, verdict.fault, now);
    }
    if (coverage.scope != EvidenceScope::All) {
        return std::nullopt;
    }
    if (isFinal && !verdict.isSufficient) {
        return rollBack(state, Fault::Unproven, now);
    }
    const bool isProven = verdict.isSufficient && (isFinal || verdict.significance >= settings.provenSignificance);
    return isProven && elapsed >= state.settings.trialFraction ? recordProof(state, now) : std::nullopt;
}

bool adoptDecision(RolloutState &state, const Status &status)
{
    if (!isSameRollout(state.status, status)) {
        return false;
    }
    if (status.phase == Phase::RolledBack) {
        return mergeStatus(state, status);
    }
    const bool isNews = status.isProven && !state.status.isProven;
    state.status.isProven = state.status.isProven || status.isProven;
    return isNews;
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

MemberEvidence nextEvidence(RolloutState &state, Core::WallTime now)
{
    ++state.ownEvidence.revision;
    state.hasUnreportedFailure = false;
    state.hasUnreportedResponse = false;
    countMatureAnswers(state, now);
    auto evidence = state.ownEvidence;
    addPending(evidence.answers, state, now);
    return evidence;
}

std::shared_ptr<void> trackPending(RolloutState &state, const Observation &request, Core::WallTime now)
{
    if (!isJudged(state) || request.isCold) {
        return nullptr;
    }
    const auto number = ++state.pending->lastNumber;
    state.pending->requests.emplace(number, PendingRequest{.group = answerGroupOf(request), .sentAt = now, .isBusy = request.isBusy});
    return {nullptr, [pending = std::weak_ptr(state.pending), number](void *) {
                if (const auto known = pending.lock()) {
                    known->requests.erase(number);
                }
            }};
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
