#include <LibFleet/ServiceState.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Fleet
{

namespace
{

/// Weight of a new speed sample: about the last fifty load reports count.
constexpr double SPEED_WEIGHT = 0.02;
constexpr double MINIMUM_SLOWNESS = 0.1;
/// Weight of a new answer in the averages of a route.
constexpr double ANSWER_WEIGHT = 0.05;
/// Weight of a new outcome in a target's failure share: two consecutive failures raise it to about half.
constexpr double OUTCOME_WEIGHT = 0.3;
/// Failure weight of a shed request, which cost only the time until the refusal.
constexpr double SHED_FAILURE_WEIGHT = 0.5;
/// Failure weight of an overtaken request: the caller was served, but later and by another target.
constexpr double OVERTAKEN_FAILURE_WEIGHT = 0.5;
/// Failure share reported by other instances below which it counts as zero.
constexpr double NEGLIGIBLE_FAILURE_SHARE = 0.02;
/// Time for which a successful answer outweighs failed health checks.
constexpr std::chrono::milliseconds HEALTH_PROOF_LIFETIME{3000};
/// First and longest pause between trial requests to a target whose health checks fail.
constexpr std::chrono::milliseconds FIRST_TRIAL_PAUSE{500};
constexpr std::chrono::milliseconds MAXIMUM_TRIAL_PAUSE{8000};
/// First and longest ejection of an unreachable target. A server that crashed is back after some seconds.
constexpr std::chrono::milliseconds BASE_EJECTION_TIME{250};
constexpr std::chrono::milliseconds MAXIMUM_EJECTION_TIME{2000};
constexpr std::uint32_t MAXIMUM_EJECTION_DOUBLINGS = 3;

const std::string &nameOf(const TargetState &target)
{
    return target.record.name;
}

bool isSameStart(const TargetRecord &one, const TargetRecord &other)
{
    return one.name == other.name && one.startedAtMilliseconds == other.startedAtMilliseconds && one.address == other.address;
}

double decayed(double share, Core::TimePoint since, Core::TimePoint now)
{
    const auto age = Core::milliseconds(now - since);
    return share * std::exp(-std::max(0.0, age) / Core::milliseconds(FAILURE_DECAY_TIME));
}

void addFailure(TargetState &target, double failure, Core::TimePoint now)
{
    const auto share = decayed(target.failureShare, target.failureShareAt, now);
    target.failureShare = share + OUTCOME_WEIGHT * (failure - share);
    target.failureShareAt = now;
}

} // namespace

TargetState *findTarget(ServiceState &service, const std::string &name)
{
    const auto found = std::ranges::lower_bound(service.targets, name, {}, nameOf);
    return found == service.targets.end() || found->record.name != name ? nullptr : &*found;
}

void updateTargets(ServiceState &service, const std::vector<TargetRecord> &records, Core::TimePoint now)
{
    std::vector<TargetState> updated;
    updated.reserve(records.size());
    for (const auto &record : records) {
        auto *known = findTarget(service, record.name);
        const bool isKept = known != nullptr && isSameStart(known->record, record);
        const bool isSame = isKept && known->record == record;
        TargetState belief = isKept ? std::move(*known) : TargetState{};
        if (!isKept) {
            belief.joinedAt = service.targets.empty() ? Core::TimePoint{} : now;
        }
        belief.record = record;
        if (record.isLeaving && !belief.leavingSince) {
            belief.leavingSince = now;
        }
        if (!isSame) {
            recordCold(belief, record.coldLeft, now);
        }
        updated.push_back(std::move(belief));
    }
    if (!std::ranges::is_sorted(updated, {}, nameOf)) {
        std::ranges::sort(updated, {}, nameOf);
    }
    service.targets = std::move(updated);
}

void applySelfReport(TargetState &target, const SelfReport &report)
{
    if (report.isLeaving) {
        target.isLeaving = true;
        target.leavingSince = std::min(target.leavingSince.value_or(report.leavingSince), report.leavingSince);
    }
    target.quietUntil = std::max(target.quietUntil, report.quietUntil);
    if (!report.rate) {
        target.rateLimit.reset();
        return;
    }
    if (!target.rateLimit) {
        target.rateLimit = std::make_unique<RateLimit>();
    }
    target.rateLimit->rate = *report.rate;
}

void updateQuotas(ServiceState &service, const RateSharers &sharers, Core::TimePoint now)
{
    for (auto &target : service.targets) {
        if (target.rateLimit) {
            updateQuota(*target.rateLimit, {target.record.name}, sharers, now);
        }
    }
}

void recordLoadReport(ServiceState &service, TargetState &target, const LoadReport &load, Core::TimePoint now)
{
    target.loadReport = load;
    target.loadReportAt = now;
    target.ownInFlightAtReport = target.ownInFlight;
    service.typicalSpeed += SPEED_WEIGHT * (1 / std::max(MINIMUM_SLOWNESS, load.slowness) - service.typicalSpeed);
}

void recordCold(TargetState &target, std::chrono::milliseconds coldLeft, Core::TimePoint now)
{
    target.coldUntil = coldLeft.count() > 0 ? now + coldLeft : Core::TimePoint{};
}

void ejectTarget(TargetState &target, Core::TimePoint now)
{
    const auto doublings = std::min(target.consecutiveEjections, MAXIMUM_EJECTION_DOUBLINGS);
    target.ejectedUntil = now + std::min(MAXIMUM_EJECTION_TIME, BASE_EJECTION_TIME * (1U << doublings));
    ++target.consecutiveEjections;
}

void forgetUnreachable(TargetState &target, Core::TimePoint now)
{
    target.ejectedUntil = {};
    target.consecutiveEjections = 0;
    target.unreportedOutcomes = {};
    if (target.coldShare) {
        // Many instances return at the same moment, perhaps after others took their place.
        target.coldShare->quota.openFrom = now + Limits::SEND_WINDOW;
    }
}

void recordHealth(TargetState &target, bool takesWork, Core::TimePoint now)
{
    if (!takesWork && !target.failsHealthCheck) {
        target.trialPause = FIRST_TRIAL_PAUSE;
        target.nextTrialAt = now + target.trialPause;
    }
    target.failsHealthCheck = !takesWork;
    target.consecutiveEjections = 0;
    target.ejectedUntil = {};
}

void recordSent(TargetState &target, Core::TimePoint now)
{
    if (target.coldShare && target.coldUntil > now && !target.coldShare->quota.sends.empty()) {
        target.coldShare->quota.sends.back() = now;
    }
    if (target.failsHealthCheck && target.provenHealthyUntil <= now) {
        target.nextTrialAt = now + target.trialPause;
        target.trialPause = std::min(MAXIMUM_TRIAL_PAUSE, target.trialPause * 2);
    }
}

void recordOutcome(TargetState &target, SendOutcome outcome, Core::TimePoint now)
{
    switch (outcome) {
    case SendOutcome::Success:
        addFailure(target, 0, now);
        ++target.unreportedOutcomes.answered;
        target.provenHealthyUntil = now + HEALTH_PROOF_LIFETIME;
        target.trialPause = FIRST_TRIAL_PAUSE;
        return;
    case SendOutcome::Shed:
        addFailure(target, SHED_FAILURE_WEIGHT, now);
        return;
    case SendOutcome::ShedWithFreeSlots:
        addFailure(target, SHED_FAILURE_WEIGHT, now);
        ++target.unreportedOutcomes.failed;
        return;
    case SendOutcome::Failure:
    case SendOutcome::Lost:
        addFailure(target, 1, now);
        ++target.unreportedOutcomes.failed;
        target.provenHealthyUntil = {};
        return;
    case SendOutcome::Overtaken:
        addFailure(target, OVERTAKEN_FAILURE_WEIGHT, now);
        ++target.unreportedOutcomes.failed;
        return;
    }
}

void recordAnswer(RouteStatistics &route, const ServiceState &service, Core::Duration elapsed, std::size_t bytes)
{
    const auto work = Core::milliseconds(elapsed) / std::max(1.0, typicalSlowness(service));
    route.workMilliseconds += ANSWER_WEIGHT * (work - route.workMilliseconds);
    route.answerBytes += ANSWER_WEIGHT * (static_cast<double>(bytes) - route.answerBytes);
}

double typicalSlowness(const ServiceState &service)
{
    return 1 / service.typicalSpeed;
}

double peerFailureShare(const TargetState &target, Core::TimePoint now)
{
    const auto share = decayed(target.peerFailureShare, target.peerFailureShareAt, now);
    return share < NEGLIGIBLE_FAILURE_SHARE ? 0 : share;
}

double failureShare(const TargetState &target, Core::TimePoint now)
{
    return std::max(decayed(target.failureShare, target.failureShareAt, now), peerFailureShare(target, now));
}

bool hasSendPermit(const TargetState &target, Core::TimePoint now)
{
    const auto *limit = target.rateLimit.get();
    return limit == nullptr || isTrialDue(*limit, now) || Limits::hasFreePermit(limit->quota, now);
}

bool takeSendPermit(TargetState &target, Core::TimePoint now)
{
    if (!target.rateLimit) {
        return true;
    }
    auto &limit = *target.rateLimit;
    if (Limits::reservePermit(limit.quota, now)) {
        Limits::confirmPermit(limit.quota, now);
        return true;
    }
    const bool isTrial = isTrialDue(limit, now);
    if (isTrial) {
        limit.lastTrialAt = now;
    }
    return isTrial;
}

bool takeColdPermit(const ServiceConfiguration &configuration, TargetState &target, const RateSharers &sharers, Core::TimePoint now)
{
    if (!target.coldShare) {
        target.coldShare = std::make_unique<RateShare>();
    }
    auto &share = *target.coldShare;
    updateColdShare(share, configuration.coldRequestsPerSecond, {target.record.name}, sharers, now);
    if (!Limits::reservePermit(share.quota, now)) {
        return false;
    }
    Limits::confirmPermit(share.quota, now);
    return true;
}

} // namespace Briarbend::Fleet
