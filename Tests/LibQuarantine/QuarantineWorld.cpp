#include "QuarantineWorld.h"

#include <algorithm>
#include <memory>

namespace Briarbend::Quarantine
{

namespace
{

using namespace std::chrono_literals;

constexpr auto DEADLINE = 2s;
constexpr auto LOOK_AGAIN = 20ms;
constexpr auto ACKNOWLEDGEMENT_LIMIT = 200ms;
constexpr auto RUN_TIME = 4ms;
constexpr auto RESTART_TIME = 500ms;
constexpr auto FIND_LOST_TIME = 30ms;
constexpr Core::TimePoint START{1h};

} // namespace

QuarantineWorld::QuarantineWorld(std::uint64_t seed, bool hasProtection)
    : random(seed)
    , isProtected(hasProtection)
    , states(INSTANCES)
    , frozenUntil(INSTANCES)
    , targets(TARGETS)
{
    for (std::size_t index = 0; index < INSTANCES; ++index) {
        this->names.push_back({"instance-" + std::to_string(100 + index)});
    }
}

void QuarantineWorld::after(Core::Duration delayed, Action action)
{
    this->events.emplace(this->now + delayed, std::move(action));
}

Core::Duration QuarantineWorld::delay(std::size_t from, std::size_t to)
{
    constexpr std::size_t SPREAD_MICROSECONDS = 5000;
    Core::Random pair{from * INSTANCES + to};
    return 1ms + std::chrono::microseconds{pair.below(SPREAD_MICROSECONDS)};
}

Core::TargetStartId QuarantineWorld::startOf(std::size_t target) const
{
    return {std::to_string(target) + "/" + std::to_string(this->targets[target].start)};
}

Fingerprint QuarantineWorld::fingerprintOfNumber(std::uint64_t request)
{
    return fingerprintOf("GET", "/patterns/" + std::to_string(request), 0, {});
}

void QuarantineWorld::addCaller(std::uint64_t request, bool isCulprit, std::chrono::milliseconds pause, std::chrono::milliseconds from)
{
    if (isCulprit) {
        this->culprits.insert(request);
    }
    const auto again = std::make_shared<Action>();
    *again = [this, request, pause, again] {
        this->submit(request, this->random.below(INSTANCES), [this, pause, again] {
            this->after(pause, *again);
        });
    };
    this->after(from + std::chrono::microseconds{this->random.below(50'000)}, *again);
}

void QuarantineWorld::breakTargetsAt(std::chrono::milliseconds time, const std::vector<std::size_t> &broken)
{
    this->after(time, [this, broken] {
        std::ranges::for_each(broken, [this](std::size_t target) {
            this->breakTarget(target);
        });
    });
}

void QuarantineWorld::freezeAt(std::chrono::milliseconds time, std::size_t instance, std::chrono::milliseconds duration)
{
    this->after(time, [this, instance, duration] {
        this->frozenUntil[instance] = this->now + duration;
    });
}

void QuarantineWorld::runUntil(std::chrono::milliseconds time)
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

void QuarantineWorld::submit(std::uint64_t request, std::size_t instance, std::function<void()> done)
{
    if (this->frozenUntil[instance] > this->now) {
        this->after(this->frozenUntil[instance] - this->now, [this, request, instance, done] {
            this->submit(request, instance, done);
        });
        return;
    }
    this->tryOnce({.request = request, .instance = instance, .deadline = this->now + DEADLINE, .done = std::move(done)});
}

void QuarantineWorld::tryOnce(const Submission &submission)
{
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
            this->after(LOOK_AGAIN, [this, submission] {
                this->tryOnce(submission);
            });
            return;
        }
        submission.done();
        return;
    case Admission::Refuse:
        ++this->refusalsOfRequest[submission.request];
        this->after(1ms, submission.done);
        return;
    }
}

void QuarantineWorld::announce(const Submission &submission)
{
    auto &state = this->states[submission.instance];
    const auto fingerprint = fingerprintOfNumber(submission.request);
    const auto target = this->random.below(TARGETS);
    const auto start = this->startOf(target);
    if (hasTrial(state, start, this->now) || !this->targets[target].isUp) {
        this->after(LOOK_AGAIN, [this, submission] {
            this->tryOnce(submission);
        });
        return;
    }
    const auto message = announceTrial(state, fingerprint, this->names[submission.instance], start, this->now);
    const auto deliver = [this, message](QuarantineState &peer) {
        onTrialAnnouncement(peer, message, this->now);
    };
    this->push(submission.instance, deliver, [this, submission, fingerprint, target, start] {
        const auto isMine = confirmTrial(this->states[submission.instance], fingerprint, this->names[submission.instance], this->now);
        if (isMine && this->startOf(target) == start) {
            this->send(submission, target, true);
            return;
        }
        this->spread(submission, {}, true, [this, submission] {
            this->tryOnce(submission);
        });
    });
}

void QuarantineWorld::push(std::size_t from, const std::function<void(QuarantineState &)> &deliver, Action then)
{
    Core::Duration longest{0};
    for (std::size_t peer = 0; peer < INSTANCES; ++peer) {
        if (peer == from) {
            continue;
        }
        const auto frozen = std::max(Core::Duration{0}, Core::Duration{this->frozenUntil[peer] - this->now});
        const auto arrival = delay(from, peer) + frozen;
        this->after(arrival, [this, peer, deliver] {
            deliver(this->states[peer]);
        });
        longest = std::max(longest, arrival + delay(peer, from));
    }
    this->after(std::min<Core::Duration>(longest, ACKNOWLEDGEMENT_LIMIT), std::move(then));
}

void QuarantineWorld::send(const Submission &submission, std::size_t target, bool isTrial)
{
    if (!this->targets[target].isUp) {
        this->after(1ms, [this, submission] {
            this->tryOnce(submission);
        });
        return;
    }
    const auto run = this->nextRun++;
    const auto start = this->startOf(target);
    const auto sentAt = this->now;
    this->targets[target].lost.emplace(run, [this, submission, target, start, isTrial] {
        this->onLost(submission, target, start, isTrial);
    });
    this->after(RUN_TIME, [this, submission, target, run, sentAt, isTrial] {
        if (!this->targets[target].lost.contains(run)) {
            return;
        }
        if (this->culprits.contains(submission.request)) {
            ++this->brokenByRequest[submission.request];
            this->breakTarget(target);
            return;
        }
        this->targets[target].lost.erase(run);
        const auto fingerprint = fingerprintOfNumber(submission.request);
        const auto reports = onCompleted(this->states[submission.instance], fingerprint, sentAt, this->now);
        if (!reports.isEmpty() || isTrial) {
            this->spread(submission, reports, isTrial, [] {});
        }
        ++this->answersToRequest[submission.request];
        submission.done();
    });
}

void QuarantineWorld::onLost(const Submission &submission, std::size_t target, const Core::TargetStartId &start, bool isTrial)
{
    const auto fingerprint = fingerprintOfNumber(submission.request);
    const auto reports = onConnectionLost(this->states[submission.instance], fingerprint, start, isTrial, this->now);
    this->after(FIND_LOST_TIME, [this, instance = submission.instance, start, target] {
        if (this->startOf(target) != start || !this->targets[target].isUp) {
            this->findLost(instance, start);
        }
    });
    this->spread(submission, reports, isTrial, [this, submission] {
        // A culprit's caller sends again by itself; other requests are repeated by the instance.
        if (this->culprits.contains(submission.request)) {
            submission.done();
        } else {
            this->tryOnce(submission);
        }
    });
}

void QuarantineWorld::spread(const Submission &submission, const Reports &reports, bool isTrial, Action then)
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
    this->push(submission.instance, deliver, std::move(then));
}

void QuarantineWorld::findLost(std::size_t instance, const Core::TargetStartId &start)
{
    const auto reports = onStartLost(this->states[instance], start, this->now);
    if (!reports.isEmpty()) {
        this->push(
            instance,
            [this, reports](QuarantineState &peer) {
                merge(peer, reports, this->now);
            },
            [] {});
    }
}

void QuarantineWorld::breakTarget(std::size_t target)
{
    auto lost = std::exchange(this->targets[target].lost, {});
    this->targets[target].isUp = false;
    const auto start = this->startOf(target);
    ++this->targets[target].start;
    this->after(RESTART_TIME, [this, target] {
        this->targets[target].isUp = true;
    });
    // An idle connection of some instance notices as well.
    this->after(FIND_LOST_TIME, [this, start, instance = this->random.below(INSTANCES)] {
        this->findLost(instance, start);
    });
    for (const auto &[run, notify] : lost) {
        notify();
    }
}

std::size_t QuarantineWorld::brokenBy(std::uint64_t request) const
{
    const auto found = this->brokenByRequest.find(request);
    return found == this->brokenByRequest.end() ? 0 : found->second;
}

std::size_t QuarantineWorld::refusals(std::uint64_t request) const
{
    const auto found = this->refusalsOfRequest.find(request);
    return found == this->refusalsOfRequest.end() ? 0 : found->second;
}

std::size_t QuarantineWorld::answers(std::uint64_t request) const
{
    const auto found = this->answersToRequest.find(request);
    return found == this->answersToRequest.end() ? 0 : found->second;
}

} // namespace Briarbend::Quarantine
