#include "DeadlineSimulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <string>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::WallTime START{std::chrono::hours{490'000}};
constexpr std::size_t EVALUATORS = 2;
constexpr std::uint32_t SLOTS = 6;
constexpr double REQUESTS_PER_TARGET = 4.6;
constexpr std::size_t FEWEST_TARGETS = 6;
constexpr double WORK_MILLISECONDS = 220;
constexpr double WORK_SPREAD = 0.3;
constexpr std::int64_t COLD_MILLISECONDS = 3000;
constexpr std::int64_t NOISE_MILLISECONDS = 150;
constexpr double NOISY_SHARE = 0.25;
constexpr double NOISE_FACTOR = 5;
constexpr std::int64_t TICK_MILLISECONDS = 100;
constexpr std::int64_t EVIDENCE_TICKS = 3;
/// Evaluators count on the others' evidence from then on.
constexpr std::int64_t EVIDENCE_DELAY_MILLISECONDS = 1200;
constexpr std::int64_t RESTART_MILLISECONDS = 1500;
/// Time until silent members are gone, and from then until their absence from the store counts.
constexpr std::int64_t DETECTION_MILLISECONDS = 6500;
constexpr std::int64_t PRESENCE_MILLISECONDS = 4500;
/// Time until a verdict in the store is known to all.
constexpr std::int64_t STORE_MILLISECONDS = 500;
constexpr std::int64_t LATE_FAULT_MILLISECONDS = 4000;
constexpr std::int64_t ROLLBACK_BOUND_MILLISECONDS = 5000;
constexpr std::size_t ALLOWED_REQUESTS = 50;
constexpr double ALLOWED_SHARE = 0.1;
constexpr double ERROR_SHARE = 0.001;

Core::TargetId targetName(VersionRole role, std::size_t index)
{
    return {(role == VersionRole::New ? "new-" : "old-") + std::to_string(index)};
}

} // namespace

const char *nameOf(BadKind kind)
{
    constexpr std::array NAMES{"good", "errors", "slow", "errors under load", "errors on one route", "errors later"};
    return NAMES.at(static_cast<std::size_t>(kind));
}

bool isExposed(const DeadlineOutcome &outcome)
{
    const auto allowed = ALLOWED_SHARE * static_cast<double>(outcome.requests) + ALLOWED_REQUESTS;
    return static_cast<double>(outcome.requestsToNew) > allowed || outcome.requestsAfterRollbackBound > 0;
}

DeadlineSimulation::DeadlineSimulation(const DeadlineScenario &simulatedScenario, std::uint64_t seed)
    : scenario(simulatedScenario)
    , random(seed)
{
    const auto targets = std::max(FEWEST_TARGETS, static_cast<std::size_t>(this->scenario.requestsPerSecond / REQUESTS_PER_TARGET));
    this->oldTargets.resize(targets);
    this->newTargets.resize(targets);
    std::for_each_n(
        this->oldTargets.begin(), static_cast<std::size_t>(this->scenario.slowOldShare * static_cast<double>(targets)), [](Target &target) {
            target.isSlow = true;
        });
    this->isInFirstPart.resize(this->scenario.instances, !this->scenario.division);
    for (auto left = this->scenario.division ? this->scenario.division->remaining : 0; left > 0;) {
        const auto drawn = this->random.below(this->scenario.instances);
        left -= this->isInFirstPart[drawn] ? 0 : 1;
        this->isInFirstPart[drawn] = true;
    }
}

Core::WallTime DeadlineSimulation::wallNow() const
{
    return START + std::chrono::milliseconds{this->now};
}

void DeadlineSimulation::startInstances()
{
    const auto seconds = static_cast<double>(this->scenario.length.count()) / 1000;
    const auto allowed = ALLOWED_SHARE + ALLOWED_REQUESTS / (this->scenario.requestsPerSecond * seconds);
    const auto finish = std::chrono::duration_cast<std::chrono::milliseconds>(this->scenario.length * 0.95);
    auto settings = deadlineSettings();
    settings.exposure = ExposureSettings{.allowed = allowed};
    ++this->generation;
    this->states.clear();
    for (std::size_t index = 0; index < this->scenario.instances; ++index) {
        const Configuration::Rollout rollout{
            .service = {"pattern"}, .from = {"previous"}, .to = {"v2"}, .start = START, .finishBy = START + finish, .trialShare = allowed};
        this->states.emplace_back(rollout, Core::InstanceId{std::to_string(index)}, settings);
    }
}

bool DeadlineSimulation::areInstancesUp() const
{
    const auto restart = this->scenario.restartAt ? this->scenario.restartAt->count() : -RESTART_MILLISECONDS;
    return this->now < restart || this->now >= restart + RESTART_MILLISECONDS;
}

bool DeadlineSimulation::isDivided() const
{
    return this->scenario.division && this->now >= this->scenario.division->at.count();
}

bool DeadlineSimulation::isLost(std::size_t instance) const
{
    return this->isDivided() && !this->scenario.division->isPartition && !this->isInFirstPart[instance];
}

bool DeadlineSimulation::isReached(std::size_t from, std::size_t to) const
{
    return !this->isDivided() || this->isInFirstPart[from] == this->isInFirstPart[to];
}

std::vector<std::size_t> DeadlineSimulation::knownAlive(std::size_t instance) const
{
    const bool isNoticed = this->isDivided() && this->now >= this->scenario.division->at.count() + DETECTION_MILLISECONDS;
    std::vector<std::size_t> alive;
    for (std::size_t index = 0; index < this->scenario.instances; ++index) {
        if (!isNoticed || this->isReached(instance, index)) {
            alive.push_back(index);
        }
    }
    return alive;
}

std::vector<std::size_t> DeadlineSimulation::evaluatorsKnownTo(std::size_t instance) const
{
    auto evaluators = this->knownAlive(instance);
    evaluators.resize(std::min(evaluators.size(), EVALUATORS));
    return evaluators;
}

EvidenceCoverage DeadlineSimulation::coverageOf(std::size_t instance) const
{
    const auto alive = this->knownAlive(instance);
    const auto evaluators = this->evaluatorsKnownTo(instance);
    const auto noticedAt = this->scenario.division ? this->scenario.division->at.count() + DETECTION_MILLISECONDS : 0;
    const auto restartedAt
        = this->scenario.restartAt && this->generation > 1 ? this->scenario.restartAt->count() + RESTART_MILLISECONDS : 0;
    const auto evaluatorSince = instance < EVALUATORS ? restartedAt : noticedAt;
    const bool isEvaluator = std::ranges::count(evaluators, instance) > 0;
    if (!isEvaluator || this->now - evaluatorSince < EVIDENCE_DELAY_MILLISECONDS) {
        return {.scope = EvidenceScope::Own, .judges = alive.size()};
    }
    const auto elsewhere = this->scenario.division && this->scenario.division->isPartition ? this->scenario.instances - alive.size() : 0;
    const bool isPresenceKnown = this->now >= noticedAt + PRESENCE_MILLISECONDS;
    const bool mayDecide = 2 * alive.size() > this->scenario.instances || (isPresenceKnown && alive.size() > elsewhere);
    return {.scope = mayDecide ? EvidenceScope::All : EvidenceScope::Reached};
}

void DeadlineSimulation::spread(const Status &decision, std::size_t from)
{
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        if (this->isReached(from, index)) {
            adoptDecision(this->states[index], decision);
        }
    }
    if (decision.phase == Phase::RolledBack && !this->rolledBackAt) {
        this->rolledBackAt = this->now;
    }
}

void DeadlineSimulation::applyStored()
{
    const bool isReachable = !this->scenario.division || this->scenario.division->isStoreReachable;
    if (!isReachable || !this->rolledBackAt || this->now < *this->rolledBackAt + STORE_MILLISECONDS) {
        return;
    }
    std::ranges::for_each(this->states, [this](RolloutState &state) {
        rollBack(state, Fault::Unproven, this->wallNow());
    });
}

bool DeadlineSimulation::isNoisy(Target &target)
{
    if (this->now >= target.noiseEndsAt) {
        target.isNoisy = this->random.unit() < NOISY_SHARE;
        target.noiseEndsAt = this->now + NOISE_MILLISECONDS;
    }
    return target.isNoisy;
}

std::size_t DeadlineSimulation::pickTarget(VersionRole role, std::size_t instance)
{
    auto &targets = role == VersionRole::New ? this->newTargets : this->oldTargets;
    std::vector<std::size_t> choices(3);
    std::ranges::generate(choices, [&] {
        return this->random.below(targets.size());
    });
    const auto allowed = role == VersionRole::New ? allowedTargets(this->states[instance], this->wallNow()) : std::nullopt;
    if (allowed && !allowed->empty()) {
        choices.resize(1);
        choices.front() = std::stoul(allowed->at(this->random.below(allowed->size())).value.substr(4));
    }
    return *std::ranges::min_element(choices, {}, [&](std::size_t index) {
        auto &target = targets[index];
        return std::tuple(target.inFlight >= SLOTS, this->isNoisy(target) || target.isSlow, target.inFlight);
    });
}

bool DeadlineSimulation::isAffected(const Observation &observation, const Target &target)
{
    if (observation.role == VersionRole::Old || this->random.unit() >= this->scenario.portion) {
        return false;
    }
    switch (this->scenario.kind) {
    case BadKind::None:
        return false;
    case BadKind::Errors:
    case BadKind::Slow:
        return true;
    case BadKind::ErrorsUnderLoad:
        return 2 * target.inFlight > SLOTS;
    case BadKind::ErrorsOnOneRoute:
        return observation.segment.route == "/b/";
    case BadKind::ErrorsLater:
        return this->now >= LATE_FAULT_MILLISECONDS;
    }
    return false;
}

double DeadlineSimulation::workMilliseconds()
{
    const auto radius = std::sqrt(-2 * std::log(std::max(1e-12, this->random.unit())));
    const auto normal = radius * std::cos(2 * std::numbers::pi * this->random.unit());
    return WORK_MILLISECONDS * std::exp(WORK_SPREAD * normal);
}

void DeadlineSimulation::sendRequest()
{
    auto instance = this->random.below(this->scenario.instances);
    while (this->isLost(instance)) {
        instance = this->random.below(this->scenario.instances);
    }
    auto &state = this->states[instance];
    const TrafficSegment segment{.route = this->random.unit() < 0.6 ? "/a/" : "/b/", .level = LoadLevel::Low};
    const auto role = chooseVersion(state, segment, this->wallNow(), this->random);
    const auto index = this->pickTarget(role, instance);
    auto &target = (role == VersionRole::New ? this->newTargets : this->oldTargets)[index];
    ++target.inFlight;
    Observation observation{.segment = segment,
                            .role = role,
                            .target = targetName(role, index),
                            .isFailure = this->random.unit() < ERROR_SHARE,
                            .isCold = role == VersionRole::New && this->now < COLD_MILLISECONDS,
                            .isBusy = 3 * (SLOTS - std::min(SLOTS, target.inFlight - 1)) < SLOTS
                                || (role == VersionRole::New && allowedTargets(state, this->wallNow()))};
    const bool isBad = this->isAffected(observation, target);
    observation.isFailure = observation.isFailure || (isBad && this->scenario.kind != BadKind::Slow);
    auto latency
        = this->workMilliseconds() * (this->isNoisy(target) ? 1.5 : 1) * (observation.isCold ? 2 : 1) * (target.isSlow ? NOISE_FACTOR : 1);
    latency *= isBad && this->scenario.kind == BadKind::Slow ? this->scenario.timesSlower : 1;
    latency *= 5 * target.inFlight > 4 * SLOTS ? 1.7 : 1;
    latency *= std::max(1.0, static_cast<double>(target.inFlight) / SLOTS);
    observation.latency = std::chrono::microseconds{static_cast<std::int64_t>(latency * 1000)};
    ++this->outcome.requests;
    if (role == VersionRole::New) {
        ++this->outcome.requestsToNew;
        constexpr std::size_t COUNTED_FROM = 50;
        const bool isTooLate
            = this->badAnswers.size() >= COUNTED_FROM && this->now > this->badAnswers[COUNTED_FROM - 1] + ROLLBACK_BOUND_MILLISECONDS;
        this->outcome.requestsAfterRollbackBound += isTooLate ? 1 : 0;
    }
    this->inFlight.push({.endsAt = this->now + static_cast<std::int64_t>(latency),
                         .instance = instance,
                         .generation = this->generation,
                         .target = index,
                         .isBad = isBad,
                         .observation = observation,
                         .pending = trackPending(state, observation, this->wallNow())});
}

void DeadlineSimulation::completeRequests()
{
    while (!this->inFlight.empty() && this->inFlight.top().endsAt <= this->now) {
        const auto ended = this->inFlight.top();
        this->inFlight.pop();
        --(ended.observation.role == VersionRole::New ? this->newTargets : this->oldTargets)[ended.target].inFlight;
        if (ended.isBad) {
            this->badAnswers.push_back(this->now);
        }
        if (ended.generation == this->generation && !this->isLost(ended.instance)) {
            observe(this->states[ended.instance], ended.observation, this->wallNow());
        }
    }
}

void DeadlineSimulation::advance()
{
    std::vector<Core::TargetId> oldNames;
    std::vector<Core::TargetId> newNames;
    std::uint32_t running = 0;
    for (std::size_t index = 0; index < this->oldTargets.size(); ++index) {
        oldNames.push_back(targetName(VersionRole::Old, index));
        running += this->oldTargets[index].inFlight + this->newTargets[index].inFlight;
        if (this->now >= COLD_MILLISECONDS) {
            newNames.push_back(targetName(VersionRole::New, index));
        }
    }
    const bool isEvidenceDue = (this->now / TICK_MILLISECONDS) % EVIDENCE_TICKS == 0;
    for (std::size_t index = 0; index < this->states.size(); ++index) {
        if (this->isLost(index)) {
            continue;
        }
        auto &state = this->states[index];
        state.loadingShare = loadingShareOf(SLOTS, running);
        setTargets(state, oldNames, newNames, this->wallNow());
        const auto evaluators = this->evaluatorsKnownTo(index);
        if (isEvidenceDue) {
            const auto evidence = nextEvidence(state, this->wallNow());
            for (const auto evaluator : evaluators) {
                if (this->isReached(index, evaluator)) {
                    mergeEvidence(this->states[evaluator], state.self, evidence);
                }
            }
        }
        const bool isEvaluator = std::ranges::count(evaluators, index) > 0;
        const auto advanced = isEvaluator || isEvidenceDue ? advanceRollout(state, this->wallNow()) : std::nullopt;
        if (advanced && advanced->phase == Phase::RolledBack) {
            this->spread(*advanced, index);
        }
        if (const auto decided = judgeTrial(state, this->wallNow(), this->coverageOf(index))) {
            this->spread(*decided, index);
        }
    }
    this->applyStored();
}

DeadlineOutcome DeadlineSimulation::run()
{
    this->startInstances();
    std::int64_t nextRequestAt = 0;
    bool wasUp = true;
    for (; this->now < this->scenario.length.count(); ++this->now) {
        this->completeRequests();
        const bool isUp = this->areInstancesUp();
        if (isUp && !wasUp) {
            this->startInstances();
        }
        wasUp = isUp;
        if (isUp && this->now % TICK_MILLISECONDS == 0) {
            this->advance();
        }
        const bool isInBurst
            = this->scenario.burstAt && this->now >= this->scenario.burstAt->count() && this->now < this->scenario.burstAt->count() + 3000;
        while (nextRequestAt <= this->now) {
            if (isUp) {
                this->sendRequest();
            }
            const auto rate = this->scenario.requestsPerSecond * (isInBurst ? 1.33 : 1);
            nextRequestAt += std::max<std::int64_t>(
                0, static_cast<std::int64_t>(std::llround(-std::log(std::max(1e-12, this->random.unit())) * 1000 / rate)));
        }
    }
    const auto first = std::ranges::find(this->isInFirstPart, true) - this->isInFirstPart.begin();
    const auto &state = this->states.at(static_cast<std::size_t>(first));
    this->outcome.status = state.status;
    this->outcome.answersJudged = state.verdict.answers;
    return this->outcome;
}

} // namespace Briarbend::Rollout
