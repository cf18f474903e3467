#include "RolloutWorld.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace Briarbend::Rollout
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::WallTime START{std::chrono::hours{490'000}};
constexpr std::chrono::milliseconds LENGTH{20'000};
constexpr std::int64_t STEP_MICROSECONDS = 1000;
constexpr std::int64_t MICROSECONDS_PER_MILLISECOND = 1000;
constexpr std::size_t REQUESTS_PER_STEP = 6;
constexpr std::uint32_t SLOTS = 6;
constexpr std::uint32_t WARM_AFTER = 50;
constexpr double BASE_LATENCY_MICROSECONDS = 8000;
constexpr std::int64_t LATER_FAULT_MICROSECONDS = 9'000'000;
constexpr std::int64_t LATE_MICROSECONDS = 2'000'000;
constexpr std::int64_t LONGEST_DETECTION_MICROSECONDS = 6'000'000;
constexpr std::size_t TICK_MILLISECONDS = 100;
constexpr std::size_t TICKS_BETWEEN_DECISIONS = 5;

std::vector<Core::TargetId> namesOf(const std::string &prefix, std::size_t count)
{
    std::vector<Core::TargetId> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back({prefix + std::to_string(index)});
    }
    return names;
}

} // namespace

RolloutWorld::RolloutWorld(std::uint64_t seed, Badness runBadness)
    : random(seed)
    , badness(runBadness)
    , oldTargets(TARGETS)
    , newTargets(TARGETS)
    , oldNames(namesOf("old-", TARGETS))
    , newNames(namesOf("new-", TARGETS))
{
    const Configuration::Rollout move{.service = {"pattern"},
                                      .from = {"1"},
                                      .to = {std::to_string(seed)},
                                      .start = START,
                                      .finishBy = START + LENGTH,
                                      .trialShare = 0.018};
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        this->names.push_back({std::to_string(index)});
        this->states.emplace_back(move, this->names.back(), Settings{});
    }
    std::ranges::for_each(this->oldTargets, [](Target &target) {
        target.completed = WARM_AFTER;
    });
}

Core::WallTime RolloutWorld::wall() const
{
    return START + std::chrono::milliseconds{this->now / MICROSECONDS_PER_MILLISECOND};
}

RolloutWorld::Target &RolloutWorld::targetOf(VersionRole role, std::size_t index)
{
    return role == VersionRole::Old ? this->oldTargets[index] : this->newTargets[index];
}

double RolloutWorld::noiseOf(Target &target)
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

bool RolloutWorld::isHarmed(const TrafficSegment &segment, std::uint32_t inFlight)
{
    switch (this->badness) {
    case Badness::None:
        return false;
    case Badness::FailsAlways:
    case Badness::Slow:
        return true;
    case Badness::FailsSometimes:
        return this->random.unit() < 0.1;
    case Badness::FailsUnderLoad:
        return inFlight >= 4 && this->random.unit() < 0.5;
    case Badness::SlowUnderLoad:
        return inFlight >= 3;
    case Badness::FailsLater:
    case Badness::SlowLater:
        return this->now >= LATER_FAULT_MICROSECONDS;
    case Badness::FailsOnOneRoute:
        return segment.route == "/c" && this->random.unit() < 0.5;
    case Badness::SlowOnOneRoute:
        return segment.route == "/c";
    }
    return false;
}

std::size_t RolloutWorld::pickTarget(VersionRole role, std::size_t instance)
{
    if (role == VersionRole::New) {
        if (const auto allowed = allowedTargets(this->states[instance], this->wall()); allowed && !allowed->empty()) {
            const auto &name = allowed->at(this->random.below(allowed->size()));
            return static_cast<std::size_t>(std::ranges::find(this->newNames, name) - this->newNames.begin());
        }
    }
    const auto one = this->random.below(TARGETS);
    const auto other = this->random.below(TARGETS);
    return this->targetOf(role, one).inFlight <= this->targetOf(role, other).inFlight ? one : other;
}

void RolloutWorld::arrive()
{
    const auto instance = this->random.below(INSTANCES);
    const auto kind = this->random.unit();
    TrafficSegment segment{.route = kind < 0.5 ? "/a" : (kind < 0.8 ? "/b" : "/c"), .level = LoadLevel::Medium};
    auto role = chooseVersion(this->states[instance], segment, this->wall(), this->random);
    auto index = this->pickTarget(role, instance);
    // A cold target bears one request at a time.
    const auto isCold = this->targetOf(role, index).completed < WARM_AFTER;
    if (isCold && this->targetOf(role, index).inFlight > 0) {
        role = VersionRole::Old;
        index = this->pickTarget(role, instance);
    }
    auto &target = this->targetOf(role, index);
    ++target.inFlight;
    segment.level = loadLevelOf(target.inFlight, SLOTS);

    const auto isBad = role == VersionRole::New && this->isHarmed(segment, target.inFlight);
    const auto isSlowKind = this->badness == Badness::Slow || this->badness == Badness::SlowUnderLoad || this->badness == Badness::SlowLater
        || this->badness == Badness::SlowOnOneRoute;
    const auto queueing = std::max(1.0, static_cast<double>(target.inFlight) / SLOTS);
    auto latency = BASE_LATENCY_MICROSECONDS * (0.7 + 0.6 * this->random.unit()) * this->noiseOf(target) * queueing;
    latency *= isBad && isSlowKind ? 4 : 1;
    latency *= isCold && role == VersionRole::New ? 5 : 1;

    ++this->sent;
    if (role == VersionRole::New) {
        ++this->sentToNew;
        const auto shown = this->outcome.faultShownAfter;
        if (shown && this->now - shown->count() * MICROSECONDS_PER_MILLISECOND > LATE_MICROSECONDS) {
            ++this->outcome.sentTooLate;
        }
    }
    const auto isFailure = (isBad && !isSlowKind) || this->random.unit() < 0.0005;
    this->flights.push({.endsAt = this->now + static_cast<std::int64_t>(latency),
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
    if (isShown && !this->outcome.faultShownAfter) {
        this->outcome.faultShownAfter = std::chrono::milliseconds{this->now / MICROSECONDS_PER_MILLISECOND};
        this->outcome.partBeforeFault = static_cast<double>(this->sentToNew) / static_cast<double>(std::max<std::size_t>(this->sent, 1000));
    }
}

void RolloutWorld::complete()
{
    while (!this->flights.empty() && this->flights.top().endsAt <= this->now) {
        const auto flight = this->flights.top();
        this->flights.pop();
        auto &target = this->targetOf(flight.observation.role, flight.target);
        --target.inFlight;
        ++target.completed;
        auto &state = this->states[flight.instance];
        observe(state, flight.observation, this->wall());
        if (flight.observation.isFailure && flight.observation.role == VersionRole::New) {
            this->push(flight.instance, advanceRollout(state, this->wall()));
            this->pushUrgentEvidence(flight.instance);
        }
    }
}

void RolloutWorld::pushUrgentEvidence(std::size_t from)
{
    if (!isEvidenceUrgent(this->states[from], this->wall())) {
        return;
    }
    const auto evidence = std::make_shared<const MemberEvidence>(nextEvidence(this->states[from]));
    for (const auto &judge : evaluators(this->states[from], this->names)) {
        const auto delay = static_cast<std::int64_t>(1000 + this->random.below(5000));
        this->deliveries.push({this->now + delay, from, std::stoul(judge.value), evidence, std::nullopt, true});
    }
}

void RolloutWorld::push(std::size_t from, const std::optional<Status> &status)
{
    if (!status) {
        return;
    }
    for (std::size_t to = 0; to < INSTANCES; ++to) {
        const auto delay = static_cast<std::int64_t>(1000 + this->random.below(5000));
        this->deliveries.push({this->now + delay, from, to, nullptr, status});
    }
}

void RolloutWorld::gossip(std::size_t tick)
{
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        auto &state = this->states[index];
        if (tick % 10 == 0) {
            setTargets(state, this->oldNames, this->newNames, this->wall());
        }
        const auto known = evaluators(state, this->names);
        const auto isJudge = std::ranges::find(known, state.self) != known.end();
        if (isJudge || tick % TICKS_BETWEEN_DECISIONS == index % TICKS_BETWEEN_DECISIONS) {
            this->push(index, advanceRollout(state, this->wall()));
        }
        this->pushUrgentEvidence(index);
        if (tick % 3 == index % 3) {
            const auto evidence = std::make_shared<const MemberEvidence>(nextEvidence(state));
            for (std::size_t to = 0; to < INSTANCES; ++to) {
                const auto delay = static_cast<std::int64_t>(100'000 + this->random.below(200'000));
                this->deliveries.push({this->now + delay, index, to, evidence, std::nullopt});
            }
        }
    }
}

void RolloutWorld::deliver()
{
    while (!this->deliveries.empty() && this->deliveries.top().at <= this->now) {
        const auto delivery = this->deliveries.top();
        this->deliveries.pop();
        auto &state = this->states[delivery.to];
        if (delivery.status) {
            mergeStatus(state, *delivery.status);
        } else {
            mergeEvidence(state, this->states[delivery.from].self, *delivery.evidence);
        }
        if (delivery.isUrgent) {
            this->push(delivery.to, advanceRollout(state, this->wall()));
        }
    }
}

WorldOutcome RolloutWorld::run()
{
    const auto last = (LENGTH.count() + 500) * MICROSECONDS_PER_MILLISECOND;
    for (std::int64_t step = 0; this->now < last; ++step) {
        this->now = step * STEP_MICROSECONDS;
        this->deliver();
        this->complete();
        if (step % static_cast<std::int64_t>(TICK_MILLISECONDS) == 0) {
            this->gossip(static_cast<std::size_t>(step) / TICK_MILLISECONDS);
        }
        for (std::size_t request = 0; request < REQUESTS_PER_STEP; ++request) {
            this->arrive();
        }
        const auto &status = this->states.front().status;
        if (status.phase != this->outcome.phase) {
            this->outcome.phase = status.phase;
            this->outcome.fault = status.fault;
            this->outcome.endedAfter = std::chrono::milliseconds{this->now / MICROSECONDS_PER_MILLISECOND};
        }
        const auto shown = this->outcome.faultShownAfter;
        const auto isOver = shown && this->now - shown->count() * MICROSECONDS_PER_MILLISECOND > LONGEST_DETECTION_MICROSECONDS;
        if (isOver && status.phase == Phase::RolledBack) {
            break;
        }
    }
    return this->outcome;
}

} // namespace Briarbend::Rollout
