#include "QuarantineSimulation.h"

#include <algorithm>
#include <memory>

namespace Briarbend::Quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr auto DEADLINE = 2s;
constexpr auto TRIAL_POLL_INTERVAL = 20ms;
constexpr auto ACKNOWLEDGEMENT_LIMIT = 200ms;
constexpr auto EXECUTION_TIME = 4ms;
constexpr auto RESTART_TIME = 500ms;
constexpr auto LOSS_DETECTION_TIME = 30ms;
constexpr auto INSTANCE_START_TIME = 500ms;
constexpr auto RECORD_INTERVAL = 250ms;
constexpr Core::TimePoint START{1h};
constexpr Core::WallTime WALL_START{std::chrono::hours{490'000}};

} // namespace

QuarantineSimulation::QuarantineSimulation(std::uint64_t seed, bool enableProtection)
    : random(seed)
    , isProtected(enableProtection)
    , states(INSTANCES)
    , frozenUntil(INSTANCES)
    , targets(TARGETS)
{
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        this->names.push_back({"instance-" + std::to_string(100 + index)});
    }
    this->schedule(RECORD_INTERVAL, [this] {
        this->keepRecord();
    });
}

Core::WallTime QuarantineSimulation::wallNow() const
{
    return WALL_START + std::chrono::duration_cast<std::chrono::milliseconds>(this->now - START);
}

bool QuarantineSimulation::isStoreAway() const
{
    return this->now < this->storeAwayUntil;
}

void QuarantineSimulation::keepRecord()
{
    auto &keeper = this->states.front();
    if (this->frozenUntil.front() <= this->now && !this->isStoreAway()) {
        merge(keeper, reportsOf(this->stored, this->wallNow()), this->now);
        const auto wanted = recordOf(keeper, this->now, this->wallNow());
        if (compare(this->stored, wanted) != RecordDifference::None) {
            this->stored = decodeRecord(encodeRecord(wanted));
        }
    }
    this->schedule(RECORD_INTERVAL, [this] {
        this->keepRecord();
    });
}

void QuarantineSimulation::readRecord(std::size_t instance, std::size_t ofGeneration)
{
    if (ofGeneration != this->generation) {
        return;
    }
    if (this->isStoreAway()) {
        this->schedule(RECORD_INTERVAL, [this, instance, ofGeneration] {
            this->readRecord(instance, ofGeneration);
        });
        return;
    }
    merge(this->states[instance], reportsOf(this->stored, this->wallNow()), this->now);
}

void QuarantineSimulation::replaceAllAt(std::chrono::milliseconds time)
{
    this->schedule(time, [this] {
        ++this->generation;
        std::ranges::fill(this->states, QuarantineState{});
        std::ranges::fill(this->frozenUntil, this->now + INSTANCE_START_TIME);
        this->schedule(INSTANCE_START_TIME, [this, started = this->generation] {
            for (std::size_t instance = 0; instance < INSTANCES; ++instance) {
                this->readRecord(instance, started);
            }
        });
    });
}

void QuarantineSimulation::takeStoreAwayAt(std::chrono::milliseconds time, std::chrono::milliseconds duration)
{
    this->schedule(time, [this, duration] {
        this->storeAwayUntil = this->now + duration;
    });
}

bool QuarantineSimulation::endStale(const Submission &submission)
{
    if (submission.generation == this->generation) {
        return false;
    }
    this->schedule(1ms, submission.done);
    return true;
}

void QuarantineSimulation::schedule(Core::Duration delay, Action action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

Core::Duration QuarantineSimulation::messageDelay(std::size_t from, std::size_t to)
{
    constexpr std::size_t SPREAD_MICROSECONDS = 5000;
    Core::Random pair{from * INSTANCES + to};
    return 1ms + std::chrono::microseconds{pair.below(SPREAD_MICROSECONDS)};
}

Core::TargetStartId QuarantineSimulation::startOf(std::size_t target) const
{
    return {std::to_string(target) + "/" + std::to_string(this->targets[target].start)};
}

Fingerprint QuarantineSimulation::fingerprintOfNumber(std::uint64_t request)
{
    return fingerprintOf("GET", "/patterns/" + std::to_string(request), 0, {});
}

void QuarantineSimulation::addCaller(std::uint64_t request, bool isPoison, std::chrono::milliseconds pause, std::chrono::milliseconds from)
{
    if (isPoison) {
        this->poisonRequests.insert(request);
    }
    const auto repeat = std::make_shared<Action>();
    *repeat = [this, request, pause, repeat] {
        this->submit(request, this->random.below(INSTANCES), [this, pause, repeat] {
            this->schedule(pause, *repeat);
        });
    };
    this->schedule(from + std::chrono::microseconds{this->random.below(50'000)}, *repeat);
}

void QuarantineSimulation::crashTargetsAt(std::chrono::milliseconds time, const std::vector<std::size_t> &crashing)
{
    this->schedule(time, [this, crashing] {
        std::ranges::for_each(crashing, [this](std::size_t target) {
            this->crashTarget(target);
        });
    });
}

void QuarantineSimulation::freezeAt(std::chrono::milliseconds time, std::size_t instance, std::chrono::milliseconds duration)
{
    this->schedule(time, [this, instance, duration] {
        this->frozenUntil[instance] = this->now + duration;
    });
}

void QuarantineSimulation::runUntil(std::chrono::milliseconds time)
{
    while (!this->events.empty() && this->events.begin()->first <= START + time) {
        const auto next = this->events.begin();
        this->now = next->first;
        const auto action = std::move(next->second);
        this->events.erase(next);
        action();
    }
    for (auto &state : this->states) {
        expire(state, this->now);
    }
}

void QuarantineSimulation::submit(std::uint64_t request, std::size_t instance, std::function<void()> done)
{
    if (this->frozenUntil[instance] > this->now) {
        this->schedule(this->frozenUntil[instance] - this->now, [this, request, instance, done] {
            this->submit(request, instance, done);
        });
        return;
    }
    this->attempt({.request = request,
                   .instance = instance,
                   .generation = this->generation,
                   .deadline = this->now + DEADLINE,
                   .done = std::move(done)});
}

void QuarantineSimulation::attempt(const Submission &submission)
{
    if (this->endStale(submission)) {
        return;
    }
    const auto decision = admit(this->states[submission.instance], fingerprintOfNumber(submission.request), this->now);
    switch (this->isProtected ? decision.admission : Admission::Allow) {
    case Admission::Allow:
        this->send(submission, this->random.below(TARGETS), false);
        return;
    case Admission::AnnounceTrial:
        this->announce(submission);
        return;
    case Admission::WaitForTrial:
        if (this->now < submission.deadline) {
            this->schedule(TRIAL_POLL_INTERVAL, [this, submission] {
                this->attempt(submission);
            });
            return;
        }
        submission.done();
        return;
    case Admission::Refuse:
        ++this->refusalsOfRequest[submission.request];
        this->schedule(1ms, submission.done);
        return;
    }
}

void QuarantineSimulation::announce(const Submission &submission)
{
    auto &state = this->states[submission.instance];
    const auto fingerprint = fingerprintOfNumber(submission.request);
    const auto target = this->random.below(TARGETS);
    const auto start = this->startOf(target);
    if (hasTrial(state, start, this->now) || !this->targets[target].isUp) {
        this->schedule(TRIAL_POLL_INTERVAL, [this, submission] {
            this->attempt(submission);
        });
        return;
    }
    const auto message = announceTrial(state, fingerprint, this->names[submission.instance], start, this->now);
    const auto deliver = [this, message](QuarantineState &peer) {
        onTrialAnnouncement(peer, message, this->now);
    };
    this->broadcast(submission.instance, deliver, [this, submission, fingerprint, target, start] {
        if (this->endStale(submission)) {
            return;
        }
        const auto isMine = confirmTrial(this->states[submission.instance], fingerprint, this->names[submission.instance], this->now);
        if (isMine && this->startOf(target) == start) {
            this->send(submission, target, true);
            return;
        }
        this->broadcastOutcome(submission, {}, true, [this, submission] {
            this->attempt(submission);
        });
    });
}

void QuarantineSimulation::broadcast(std::size_t from, const std::function<void(QuarantineState &)> &deliver, Action then)
{
    Core::Duration longest{0};
    for (std::size_t peer = 0; peer < INSTANCES; ++peer) {
        if (peer == from) {
            continue;
        }
        const auto frozen = std::max(Core::Duration{0}, Core::Duration{this->frozenUntil[peer] - this->now});
        const auto arrival = messageDelay(from, peer) + frozen;
        this->schedule(arrival, [this, peer, deliver, sent = this->generation] {
            if (sent == this->generation) {
                deliver(this->states[peer]);
            }
        });
        longest = std::max(longest, arrival + messageDelay(peer, from));
    }
    this->schedule(std::min<Core::Duration>(longest, ACKNOWLEDGEMENT_LIMIT), std::move(then));
}

void QuarantineSimulation::send(const Submission &submission, std::size_t target, bool isTrial)
{
    if (!this->targets[target].isUp) {
        this->schedule(1ms, [this, submission] {
            this->attempt(submission);
        });
        return;
    }
    const auto run = this->nextRun++;
    const auto start = this->startOf(target);
    const auto sentAt = this->now;
    this->targets[target].crashHandlers.emplace(run, [this, submission, target, start, isTrial] {
        this->onLost(submission, target, start, isTrial);
    });
    this->schedule(EXECUTION_TIME, [this, submission, target, run, sentAt, isTrial] {
        if (!this->targets[target].crashHandlers.contains(run)) {
            return;
        }
        if (this->poisonRequests.contains(submission.request)) {
            ++this->crashesOfRequest[submission.request];
            this->crashTarget(target);
            return;
        }
        this->targets[target].crashHandlers.erase(run);
        if (this->endStale(submission)) {
            return;
        }
        const auto fingerprint = fingerprintOfNumber(submission.request);
        const auto reports = onCompleted(this->states[submission.instance], fingerprint, sentAt, this->now);
        if (!reports.isEmpty() || isTrial) {
            this->broadcastOutcome(submission, reports, isTrial, [] {});
        }
        ++this->responsesToRequest[submission.request];
        submission.done();
    });
}

void QuarantineSimulation::onLost(const Submission &submission, std::size_t target, const Core::TargetStartId &start, bool isTrial)
{
    if (this->endStale(submission)) {
        return;
    }
    const auto fingerprint = fingerprintOfNumber(submission.request);
    const auto reports = onConnectionLost(this->states[submission.instance], fingerprint, start, isTrial, this->now);
    this->schedule(LOSS_DETECTION_TIME, [this, instance = submission.instance, lost = this->generation, start, target] {
        if (lost != this->generation) {
            return;
        }
        if (this->startOf(target) != start || !this->targets[target].isUp) {
            this->detectLostStart(instance, start);
        }
    });
    this->broadcastOutcome(submission, reports, isTrial, [this, submission] {
        // The caller of a poison request retries by itself; other requests are retried by the instance.
        if (this->poisonRequests.contains(submission.request)) {
            submission.done();
        } else {
            this->attempt(submission);
        }
    });
}

void QuarantineSimulation::broadcastOutcome(const Submission &submission, const Reports &reports, bool isTrial, Action then)
{
    const TrialAnnouncement ended{fingerprintOfNumber(submission.request), this->names[submission.instance], {}, true};
    if (isTrial) {
        endTrial(this->states[submission.instance], ended.fingerprint, ended.holder);
    }
    const auto deliver = [this, reports, ended, isTrial](QuarantineState &peer) {
        merge(peer, reports, this->now);
        if (isTrial) {
            onTrialAnnouncement(peer, ended, this->now);
        }
    };
    this->broadcast(submission.instance, deliver, std::move(then));
}

void QuarantineSimulation::detectLostStart(std::size_t instance, const Core::TargetStartId &start)
{
    const auto reports = onStartLost(this->states[instance], start, this->now);
    if (!reports.isEmpty()) {
        this->broadcast(
            instance,
            [this, reports](QuarantineState &peer) {
                merge(peer, reports, this->now);
            },
            [] {});
    }
}

void QuarantineSimulation::crashTarget(std::size_t target)
{
    auto crashHandlers = std::exchange(this->targets[target].crashHandlers, {});
    this->targets[target].isUp = false;
    const auto start = this->startOf(target);
    ++this->targets[target].start;
    this->schedule(RESTART_TIME, [this, target] {
        this->targets[target].isUp = true;
    });
    // An idle connection of some instance detects the loss as well.
    this->schedule(LOSS_DETECTION_TIME, [this, start, crashed = this->generation, instance = this->random.below(INSTANCES)] {
        if (crashed == this->generation) {
            this->detectLostStart(instance, start);
        }
    });
    for (const auto &[run, notify] : crashHandlers) {
        notify();
    }
}

std::size_t QuarantineSimulation::crashesCausedBy(std::uint64_t request) const
{
    const auto found = this->crashesOfRequest.find(request);
    return found == this->crashesOfRequest.end() ? 0 : found->second;
}

std::size_t QuarantineSimulation::refusals(std::uint64_t request) const
{
    const auto found = this->refusalsOfRequest.find(request);
    return found == this->refusalsOfRequest.end() ? 0 : found->second;
}

std::size_t QuarantineSimulation::responses(std::uint64_t request) const
{
    const auto found = this->responsesToRequest.find(request);
    return found == this->responsesToRequest.end() ? 0 : found->second;
}

} // namespace Briarbend::Quarantine
