#include "Ledger.h"

#include <Tests/Support/RateBound.h>

#include <algorithm>
#include <set>

namespace Briarbend::Soak
{

namespace
{

using namespace std::chrono_literals;
using Tests::allowedWithinSpan;
using Tests::mostWithinSpan;

/// Time after a disturbance from which the promises with a time bound hold again: the platform's stable window.
constexpr std::chrono::seconds STABLE_WINDOW{3};
/// A target that leaves gets nothing new after this time.
constexpr std::chrono::seconds LEAVING_BOUND{2};
/// A data centre that is out gets nothing new after this time.
constexpr std::chrono::seconds OUT_BOUND{5};
/// Time after which an instance that was told of a rate is bound by it.
constexpr std::chrono::milliseconds TOLD_DELAY{500};
/// A calm instance answers at the latest this long after the caller's deadline, which the caller waits longer than.
constexpr std::chrono::milliseconds LATE_ANSWER{500};
constexpr std::chrono::milliseconds CALLER_DEADLINE{2000};
/// Grace of a planned stop, and the time after it in which its connections end.
constexpr std::chrono::seconds STOP_TIME{7};
/// Time after the last fault in which service is back, and the share of requests that are served then.
constexpr std::chrono::seconds RECOVERY_TIME{4};
constexpr double RECOVERED_SHARE = 0.9;

bool promisesNotRun(unsigned status)
{
    static const std::set<unsigned> statuses{408, 421, 429, 503};
    return statuses.contains(status);
}

bool isServed(const CallerOutcome &outcome)
{
    return outcome.status && *outcome.status / 100 == 2;
}

} // namespace

void Ledger::recordRun(const std::string &attemptId, Run run)
{
    this->runs[attemptId].push_back(std::move(run));
}

void Ledger::recordOutcome(CallerOutcome outcome)
{
    this->outcomes[outcome.attemptId] = std::move(outcome);
}

void Ledger::recordLeaving(const std::string &target, Core::TimePoint at)
{
    this->leaving.try_emplace(target, at);
}

void Ledger::recordOut(const std::vector<std::string> &targets, Core::TimePoint begin)
{
    std::ranges::for_each(targets, [&](const std::string &target) {
        this->out.emplace(target, OutTime{begin, {}});
    });
}

void Ledger::recordBack(const std::vector<std::string> &targets, Core::TimePoint end)
{
    for (auto &[target, time] : this->out) {
        if (!time.end && std::ranges::find(targets, target) != targets.end()) {
            time.end = end;
        }
    }
}

void Ledger::recordUnknownRoute(std::size_t instance, const std::string &route, Core::TimePoint at)
{
    if (this->isCalm(instance, at - STABLE_WINDOW, at)) {
        this->unknownRoutes.push_back("instance " + std::to_string(instance) + " does not know " + route);
    }
}

void Ledger::recordRate(const TargetStart &start, double requestsPerSecond, Core::TimePoint begin)
{
    this->rates[start] = {.requestsPerSecond = requestsPerSecond, .begin = begin, .end = {}};
}

void Ledger::recordRateEnd(const TargetStart &start, Core::TimePoint end)
{
    const auto found = this->rates.find(start);
    if (found != this->rates.end() && !found->second.end) {
        found->second.end = end;
    }
}

std::size_t Ledger::begin(Disturbance disturbance)
{
    this->disturbances.push_back(disturbance);
    return this->disturbances.size() - 1;
}

void Ledger::end(std::size_t disturbance, Core::TimePoint at)
{
    this->disturbances.at(disturbance).end = at;
}

void Ledger::recordStop(std::size_t instance, Core::TimePoint at)
{
    this->stops.emplace_back(instance, at);
}

bool Ledger::isCalm(std::size_t instance, Core::TimePoint from, Core::TimePoint until) const
{
    return std::ranges::none_of(this->disturbances, [=](const Disturbance &disturbance) {
        const bool concerns = !disturbance.instance || *disturbance.instance == instance;
        return concerns && disturbance.begin < until && (!disturbance.end || *disturbance.end > from);
    });
}

bool Ledger::hasRun(std::size_t instance, Core::TimePoint from, Core::TimePoint until) const
{
    return std::ranges::none_of(this->disturbances, [=](const Disturbance &disturbance) {
        return disturbance.instance == instance && disturbance.begin < until && (!disturbance.end || *disturbance.end > from);
    });
}

Ledger::ToldTimes Ledger::toldTimes(bool PassedReport::*says) const
{
    ToldTimes told;
    for (const auto &[id, outcome] : this->outcomes) {
        if (outcome.report && (*outcome.report).*says) {
            told[{outcome.instance, outcome.report->start}].push_back(outcome.endedAt);
        }
    }
    for (auto &[key, times] : told) {
        std::ranges::sort(times);
    }
    return told;
}

bool Ledger::isBound(const ToldTimes &told, std::size_t instance, const Run &run, Core::TimePoint toldBy) const
{
    const auto found = told.find({instance, run.start});
    if (found == told.end() || found->second.front() > toldBy) {
        return false;
    }
    return this->hasRun(instance, *std::prev(std::ranges::upper_bound(found->second, toldBy)), run.at);
}

std::vector<std::string> Ledger::brokenPromises(Core::TimePoint faultsEnded) const
{
    std::vector<std::string> broken;
    this->checkRuns(broken);
    this->checkAnswers(broken);
    this->checkPlacement(broken);
    this->checkLeaving(broken);
    this->checkRates(broken);
    this->checkStops(broken);
    this->checkRecovery(broken, faultsEnded);
    std::ranges::copy(this->unknownRoutes, std::back_inserter(broken));
    return broken;
}

void Ledger::checkRuns(std::vector<std::string> &broken) const
{
    for (const auto &[id, runsOfAttempt] : this->runs) {
        const auto found = this->outcomes.find(id);
        if (found == this->outcomes.end()) {
            broken.push_back("a run of " + id + ", which no caller sent");
            continue;
        }
        const auto &outcome = found->second;
        if (!outcome.mayRepeat && runsOfAttempt.size() > 1) {
            broken.push_back(id + " ran " + std::to_string(runsOfAttempt.size()) + " times");
        }
        if (!outcome.mayRepeat && outcome.status && promisesNotRun(*outcome.status)) {
            broken.push_back(id + " was answered " + std::to_string(*outcome.status) + " and ran");
        }
    }
}

void Ledger::checkAnswers(std::vector<std::string> &broken) const
{
    for (const auto &[id, outcome] : this->outcomes) {
        if (isServed(outcome) && !outcome.isBodyRight) {
            broken.push_back(id + " got a wrong or cut body as whole");
        }
        if (outcome.status && !outcome.isOwnAnswer) {
            broken.push_back(id + " got the answer to another request");
        }
        if (isServed(outcome) && !this->runs.contains(id)) {
            broken.push_back(id + " was served without a run");
        }
        const bool isHeld = outcome.wasSent && outcome.endedAt - outcome.sentAt > CALLER_DEADLINE + LATE_ANSWER;
        if (isHeld && this->isCalm(outcome.instance, outcome.sentAt - STABLE_WINDOW, outcome.endedAt)) {
            broken.push_back(id + " was held past its deadline");
        }
    }
}

void Ledger::checkPlacement(std::vector<std::string> &broken) const
{
    for (const auto &[id, runsOfAttempt] : this->runs) {
        const auto found = this->outcomes.find(id);
        for (const auto &run : runsOfAttempt) {
            if (found == this->outcomes.end() || !this->isCalm(found->second.instance, run.at - STABLE_WINDOW - OUT_BOUND, run.at)) {
                continue;
            }
            const auto left = this->leaving.find(run.start.first);
            if (left != this->leaving.end() && run.at > left->second + LEAVING_BOUND) {
                broken.push_back(id + " ran at " + run.start.first + ", which leaves");
            }
            const auto [first, last] = this->out.equal_range(run.start.first);
            const bool isOut = std::any_of(first, last, [&run](const auto &entry) {
                return run.at > entry.second.begin + OUT_BOUND && (!entry.second.end || run.at < *entry.second.end);
            });
            if (isOut) {
                broken.push_back(id + " ran at " + run.start.first + ", whose data centre is out");
            }
        }
    }
}

void Ledger::checkLeaving(std::vector<std::string> &broken) const
{
    const auto told = this->toldTimes(&PassedReport::isLeaving);
    for (const auto &[id, outcome] : this->outcomes) {
        const auto found = this->runs.find(id);
        for (const auto &run : found == this->runs.end() ? std::vector<Run>{} : found->second) {
            if (this->isBound(told, outcome.instance, run, outcome.sentAt - LEAVING_BOUND)) {
                broken.push_back(id + " ran at " + run.start.first + ", which had told its instance that it leaves");
            }
        }
    }
}

std::vector<Core::TimePoint> Ledger::limitedRuns(const ToldTimes &told, const TargetStart &start, const StatedRate &rate) const
{
    std::vector<Core::TimePoint> counted;
    for (const auto &[id, outcome] : this->outcomes) {
        const auto found = this->runs.find(id);
        for (const auto &run : found == this->runs.end() ? std::vector<Run>{} : found->second) {
            const bool isJudged = run.start == start && run.at >= rate.begin + STABLE_WINDOW && run.at <= rate.end.value_or(run.at);
            if (isJudged && this->isBound(told, outcome.instance, run, run.at - TOLD_DELAY)) {
                counted.push_back(run.at);
            }
        }
    }
    std::ranges::sort(counted);
    return counted;
}

void Ledger::checkRates(std::vector<std::string> &broken) const
{
    const auto told = this->toldTimes(&PassedReport::statesRate);
    for (const auto &[start, rate] : this->rates) {
        const auto allowed = allowedWithinSpan(rate.requestsPerSecond);
        const auto most = mostWithinSpan(this->limitedRuns(told, start, rate));
        if (most > allowed) {
            broken.push_back(start.first + " got " + std::to_string(most) + " requests in 4 s, allowed " + std::to_string(allowed));
        }
    }
}

void Ledger::checkStops(std::vector<std::string> &broken) const
{
    for (const auto &[instance, at] : this->stops) {
        for (const auto &[id, outcome] : this->outcomes) {
            const bool concerns = outcome.instance == instance && outcome.sentAt > at - CALLER_DEADLINE && outcome.sentAt < at + STOP_TIME;
            const bool isCut = outcome.wasSent && !outcome.status && !outcome.hasGivenUp && this->runs.contains(id);
            if (concerns && isCut && this->isCalm(instance, outcome.sentAt - STABLE_WINDOW, outcome.endedAt)) {
                broken.push_back(id + " was cut by the planned stop of instance " + std::to_string(instance));
            }
        }
    }
}

void Ledger::checkRecovery(std::vector<std::string> &broken, Core::TimePoint faultsEnded) const
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto &[id, outcome] : this->outcomes) {
        if (outcome.sentAt > faultsEnded + RECOVERY_TIME) {
            ++sent;
            served += isServed(outcome) ? 1 : 0;
        }
    }
    if (static_cast<double>(served) < RECOVERED_SHARE * static_cast<double>(sent) || sent == 0) {
        broken.push_back(std::to_string(served) + " of " + std::to_string(sent) + " requests served after the faults");
    }
}

std::string Ledger::summary() const
{
    const auto served = std::ranges::count_if(this->outcomes, [](const auto &entry) {
        return isServed(entry.second);
    });
    const auto refused = std::ranges::count_if(this->outcomes, [](const auto &entry) {
        return entry.second.status && promisesNotRun(*entry.second.status);
    });
    return std::to_string(this->outcomes.size()) + " requests, " + std::to_string(served) + " served, " + std::to_string(refused)
        + " refused as not run";
}

} // namespace Briarbend::Soak
