#include "RolloutSimulation.h"

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::WallTime START{std::chrono::hours{490'000}};
constexpr std::chrono::milliseconds ROLLOUT_LENGTH{20'000};
constexpr std::int64_t STEP_MICROSECONDS = 1000;
constexpr std::int64_t MICROSECONDS_PER_MILLISECOND = 1000;
constexpr std::size_t REQUESTS_PER_STEP = 6;
constexpr std::uint32_t SLOTS = 6;
constexpr std::uint32_t WARM_AFTER = 50;
constexpr double BASE_LATENCY_MICROSECONDS = 8000;
constexpr std::int64_t LATER_FAULT_MICROSECONDS = 9'000'000;
constexpr std::int64_t LATE_AFTER_MICROSECONDS = 2'000'000;
constexpr std::int64_t LONGEST_DETECTION_MICROSECONDS = 6'000'000;
constexpr std::size_t TICK_MILLISECONDS = 100;
constexpr std::size_t TICKS_BETWEEN_DECISIONS = 5;
constexpr std::size_t EVALUATORS = 2;

std::vector<Core::TargetId> namesOf(const std::string &prefix, std::size_t count)
{
    std::vector<Core::TargetId> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back({prefix + std::to_string(index)});
    }
    return names;
}

} // namespace

RolloutSimulation::RolloutSimulation(std::uint64_t seed, InjectedFault faultToInject)
    : random(seed)
    , injectedFault(faultToInject)
    , oldTargets(TARGETS)
    , newTargets(TARGETS)
    , oldNames(namesOf("old-", TARGETS))
    , newNames(namesOf("new-", TARGETS))
{
    const Configuration::Rollout rollout{.service = {"pattern"},
                                         .from = {"1"},
                                         .to = {std::to_string(seed)},
                                         .start = START,
                                         .finishBy = START + ROLLOUT_LENGTH,
                                         .trialShare = 0.018};
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        this->names.push_back({std::to_string(index)});
        this->states.emplace_back(rollout, this->names.back(), Settings{});
    }
    std::vector<std::string> instances;
    std::ranges::transform(this->names, std::back_inserter(instances), &Core::InstanceId::value);
    for (const auto &name : Core::rendezvousOrder(instances, "rollout/" + rollout.service.value, EVALUATORS)) {
        this->evaluators.push_back(std::stoul(name));
    }
    std::ranges::for_each(this->oldTargets, [](Target &target) {
        target.completed = WARM_AFTER;
    });
}

Core::WallTime RolloutSimulation::wallNow() const
{
    return START + std::chrono::milliseconds{this->now / MICROSECONDS_PER_MILLISECOND};
}

RolloutSimulation::Target &RolloutSimulation::targetOf(VersionRole role, std::size_t index)
{
    return role == VersionRole::Old ? this->oldTargets[index] : this->newTargets[index];
}

double RolloutSimulation::noiseOf(Target &target)
{
    if (this->now < target.noiseUntil) {
        return target.noise;
    }
    const auto kind = this->random.unit();
    const auto isLong = kind < 0.002;
    const auto shortest = isLong ? 200 : 5;
    const auto longest = isLong ? 1000 : 50;
    const auto length = shortest + static_cast<std::int64_t>(this->random.below(static_cast<std::size_t>(longest - shortest)));
    target.noiseUntil = this->now + length * MICROSECONDS_PER_MILLISECOND;
    if (isLong) {
        target.noise = 4;
    } else {
        target.noise = kind < 0.05 ? 6 : (kind < 0.2 ? 3 : 1);
    }
    return target.noise;
}

bool RolloutSimulation::isAffected(const TrafficSegment &segment, std::uint32_t inFlight)
{
    switch (this->injectedFault) {
    case InjectedFault::None:
        return false;
    case InjectedFault::FailsAlways:
    case InjectedFault::Slow:
        return true;
    case InjectedFault::FailsSometimes:
        return this->random.unit() < 0.1;
    case InjectedFault::FailsUnderLoad:
        return inFlight >= 4 && this->random.unit() < 0.5;
    case InjectedFault::SlowUnderLoad:
        return inFlight >= 3;
    case InjectedFault::FailsLater:
    case InjectedFault::SlowLater:
        return this->now >= LATER_FAULT_MICROSECONDS;
    case InjectedFault::FailsOnOneRoute:
        return segment.route == "/c" && this->random.unit() < 0.5;
    case InjectedFault::SlowOnOneRoute:
        return segment.route == "/c";
    }
    return false;
}

std::size_t RolloutSimulation::pickTarget(VersionRole role, std::size_t instance)
{
    if (role == VersionRole::New) {
        if (const auto allowed = allowedTargets(this->states[instance], this->wallNow()); allowed && !allowed->empty()) {
            const auto &name = allowed->at(this->random.below(allowed->size()));
            return static_cast<std::size_t>(std::ranges::find(this->newNames, name) - this->newNames.begin());
        }
    }
    const auto one = this->random.below(TARGETS);
    const auto other = this->random.below(TARGETS);
    return this->targetOf(role, one).inFlight <= this->targetOf(role, other).inFlight ? one : other;
}

void RolloutSimulation::startRequest()
{
    const auto instance = this->random.below(INSTANCES);
    const auto kind = this->random.unit();
    TrafficSegment segment{.route = kind < 0.5 ? "/a" : (kind < 0.8 ? "/b" : "/c"), .level = LoadLevel::Medium};
    auto role = chooseVersion(this->states[instance], segment, this->wallNow(), this->random);
    auto index = this->pickTarget(role, instance);
    // A cold target takes one request at a time.
    const auto isCold = this->targetOf(role, index).completed < WARM_AFTER;
    if (isCold && this->targetOf(role, index).inFlight > 0) {
        role = VersionRole::Old;
        index = this->pickTarget(role, instance);
    }
    auto &target = this->targetOf(role, index);
    ++target.inFlight;
    segment.level = loadLevelOf(target.inFlight, SLOTS);

    const auto isBad = role == VersionRole::New && this->isAffected(segment, target.inFlight);
    const auto isSlowKind = this->injectedFault == InjectedFault::Slow || this->injectedFault == InjectedFault::SlowUnderLoad
        || this->injectedFault == InjectedFault::SlowLater || this->injectedFault == InjectedFault::SlowOnOneRoute;
    const auto queueing = std::max(1.0, static_cast<double>(target.inFlight) / SLOTS);
    auto latency = BASE_LATENCY_MICROSECONDS * (0.7 + 0.6 * this->random.unit()) * this->noiseOf(target) * queueing;
    latency *= isBad && isSlowKind ? 4 : 1;
    latency *= isCold && role == VersionRole::New ? 5 : 1;

    ++this->sent;
    if (role == VersionRole::New) {
        ++this->sentToNew;
        const auto shown = this->outcome.firstHarmAfter;
        if (shown && this->now - shown->count() * MICROSECONDS_PER_MILLISECOND > LATE_AFTER_MICROSECONDS) {
            ++this->outcome.lateRequestsToNew;
        }
    }
    const auto isFailure = (isBad && !isSlowKind) || this->random.unit() < 0.0005;
    this->inFlightRequests.push({.endsAt = this->now + static_cast<std::int64_t>(latency),
                                 .startedAt = this->now,
                                 .instance = instance,
                                 .target = index,
                                 .observation = {.segment = segment,
                                                 .role = role,
                                                 .target = role == VersionRole::Old ? this->oldNames[index] : this->newNames[index],
                                                 .isFailure = isFailure,
                                                 .latency = std::chrono::microseconds{static_cast<std::int64_t>(latency)},
                                                 .isCold = isCold && role == VersionRole::New}});
    // Slowness does not show on a cold target, which is slow in any case.
    const auto isShown = isBad && !(isSlowKind && isCold);
    if (isShown && !this->outcome.firstHarmAfter) {
        this->outcome.firstHarmAfter = std::chrono::milliseconds{this->now / MICROSECONDS_PER_MILLISECOND};
        this->outcome.shareBeforeFault
            = static_cast<double>(this->sentToNew) / static_cast<double>(std::max<std::size_t>(this->sent, 1000));
    }
}

void RolloutSimulation::completeRequests()
{
    while (!this->inFlightRequests.empty() && this->inFlightRequests.top().endsAt <= this->now) {
        const auto inFlightRequest = this->inFlightRequests.top();
        this->inFlightRequests.pop();
        auto &target = this->targetOf(inFlightRequest.observation.role, inFlightRequest.target);
        --target.inFlight;
        ++target.completed;
        auto &state = this->states[inFlightRequest.instance];
        observe(state, inFlightRequest.observation, this->wallNow());
        if (inFlightRequest.observation.isFailure && inFlightRequest.observation.role == VersionRole::New) {
            this->evaluate(inFlightRequest.instance);
            this->pushUrgentEvidence(inFlightRequest.instance);
        }
    }
}

void RolloutSimulation::evaluate(std::size_t index)
{
    if (isEvaluationDue(this->states[index], this->wallNow())) {
        this->push(index, advanceRollout(this->states[index], this->wallNow()));
    }
}

void RolloutSimulation::pushUrgentEvidence(std::size_t from)
{
    if (!isEvidenceUrgent(this->states[from], this->wallNow())) {
        return;
    }
    const auto evidence = std::make_shared<const MemberEvidence>(nextEvidence(this->states[from], this->wallNow()));
    for (const auto evaluator : this->evaluators) {
        const auto delay = static_cast<std::int64_t>(1000 + this->random.below(5000));
        this->pendingMessages.push({this->now + delay, from, evaluator, evidence, std::nullopt, true});
    }
}

void RolloutSimulation::push(std::size_t from, const std::optional<Status> &status)
{
    if (!status) {
        return;
    }
    for (std::size_t to = 0; to < INSTANCES; ++to) {
        const auto delay = static_cast<std::int64_t>(1000 + this->random.below(5000));
        this->pendingMessages.push({this->now + delay, from, to, nullptr, status});
    }
}

void RolloutSimulation::gossip(std::size_t tick)
{
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        auto &state = this->states[index];
        if (tick % 10 == 0) {
            setTargets(state, this->oldNames, this->newNames, this->wallNow());
        }
        const auto isEvaluator = std::ranges::find(this->evaluators, index) != this->evaluators.end();
        if (isEvaluator || tick % TICKS_BETWEEN_DECISIONS == index % TICKS_BETWEEN_DECISIONS) {
            this->evaluate(index);
        }
        this->pushUrgentEvidence(index);
        if (tick % 3 == index % 3) {
            const auto evidence = std::make_shared<const MemberEvidence>(nextEvidence(state, this->wallNow()));
            for (std::size_t to = 0; to < INSTANCES; ++to) {
                const auto delay = static_cast<std::int64_t>(100'000 + this->random.below(200'000));
                this->pendingMessages.push({this->now + delay, index, to, evidence, std::nullopt});
            }
        }
    }
}

void RolloutSimulation::deliverMessages()
{
    while (!this->pendingMessages.empty() && this->pendingMessages.top().at <= this->now) {
        const auto message = this->pendingMessages.top();
        this->pendingMessages.pop();
        auto &state = this->states[message.to];
        if (message.status) {
            mergeStatus(state, *message.status);
        } else {
            mergeEvidence(state, this->states[message.from].self, *message.evidence);
        }
        if (message.isUrgent) {
            this->evaluate(message.to);
        }
    }
}

SimulationOutcome RolloutSimulation::run()
{
    const auto last = (ROLLOUT_LENGTH.count() + 500) * MICROSECONDS_PER_MILLISECOND;
    for (std::int64_t step = 0; this->now < last; ++step) {
        this->now = step * STEP_MICROSECONDS;
        this->deliverMessages();
        this->completeRequests();
        if (step % static_cast<std::int64_t>(TICK_MILLISECONDS) == 0) {
            this->gossip(static_cast<std::size_t>(step) / TICK_MILLISECONDS);
        }
        for (std::size_t request = 0; request < REQUESTS_PER_STEP; ++request) {
            this->startRequest();
        }
        const auto &status = this->states.front().status;
        if (status.phase != this->outcome.phase) {
            this->outcome.phase = status.phase;
            this->outcome.fault = status.fault;
            this->outcome.endedAfter = std::chrono::milliseconds{this->now / MICROSECONDS_PER_MILLISECOND};
        }
        const auto shown = this->outcome.firstHarmAfter;
        const auto isOver = shown && this->now - shown->count() * MICROSECONDS_PER_MILLISECOND > LONGEST_DETECTION_MICROSECONDS;
        if (isOver && status.phase == Phase::RolledBack) {
            break;
        }
    }
    return this->outcome;
}

} // namespace Briarbend::Rollout
