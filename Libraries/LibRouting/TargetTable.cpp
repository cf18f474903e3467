#include <LibRouting/TargetTable.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <map>

namespace Briarbend::Routing
{

namespace
{

using Microseconds = std::chrono::duration<double, std::micro>;

/// Weight of a new sample in the averages over all targets.
constexpr double TYPICAL_SAMPLE_WEIGHT = 0.02;
/// Number of answers as which the typical answer time counts in a target's estimate.
constexpr double PRIOR_ANSWERS = 2;
/// Weight of this instance's requests relative to reported ones. They are known at once, those of other instances only as of the report.
constexpr double OWN_REQUEST_WEIGHT = 2;
/// Requests per slot from which a target is too busy for hedges.
constexpr double MAXIMUM_REQUESTS_PER_SLOT_TO_HEDGE = 4;
/// Upper limit of the failure share in the cost, so that a failing target has a finite cost.
constexpr double MAXIMUM_FAILURE_SHARE = 0.95;
/// Answer time assumed before the first answer.
constexpr double INITIAL_ANSWER_TIME_US = 1000;
/// Limit of the doublings of the ejection time.
constexpr std::uint32_t MAXIMUM_EJECTION_DOUBLINGS = 5;

double elapsedMicroseconds(Core::TimePoint from, Core::TimePoint to)
{
    return std::max(0.0, Microseconds(to - from).count());
}

double slotsOf(const TargetTable &table, const TargetState &target)
{
    const bool isReported = target.latestReport && target.latestReport->report.slots > 0;
    return std::max(1U, isReported ? target.latestReport->report.slots : table.parameters.slots);
}

double distanceTo(const TargetTable &table, const TargetState &target)
{
    const bool isNear = target.record.dataCentre == table.parameters.ownDataCentre;
    return isNear ? 0.0 : Microseconds(table.parameters.distance).count();
}

double typicalAnswerTime(const TargetTable &table)
{
    return table.typicalAnswerTime > 0 ? table.typicalAnswerTime : INITIAL_ANSWER_TIME_US;
}

void updateTypical(double &average, double sample)
{
    average = average > 0 ? average + TYPICAL_SAMPLE_WEIGHT * (sample - average) : sample;
}

void storeLoadReport(TargetTable &table, TargetState &target, const LoadReport &report, Core::TimePoint now)
{
    const auto peerInFlight = std::max(0.0, static_cast<double>(report.inFlight) - static_cast<double>(target.ownInFlight));
    target.latestReport = ReceivedLoadReport{.report = report, .receivedAt = now, .peerInFlight = peerInFlight};
    updateTypical(table.typicalPeerInFlight, peerInFlight);
}

double estimatedPeerInFlight(const TargetTable &table, const TargetState &target, Core::TimePoint now)
{
    if (!target.latestReport) {
        return table.typicalPeerInFlight;
    }
    const auto weight = decayWeight(now - target.latestReport->receivedAt, table.parameters.reportDecayTime);
    return weight * target.latestReport->peerInFlight + (1 - weight) * table.typicalPeerInFlight;
}

void updateAnswerTime(const TargetTable &table, TargetState &target, Core::TimePoint now)
{
    target.answerTime = estimateAt(target.answerTime, target.waiting.size(), table.parameters.answerDecayTime, now);
}

std::size_t maximumEjectedTargets(const TargetTable &table)
{
    return static_cast<std::size_t>(table.parameters.maximumEjectedShare * static_cast<double>(table.targets.size()));
}

void ejectIfFailing(TargetTable &table, TargetState &target, Core::TimePoint now)
{
    if (target.ejection.consecutiveFailures < table.parameters.failuresToEject || isEjected(target, now)) {
        return;
    }
    const auto ejected = std::ranges::count_if(table.targets, [now](const TargetState &other) {
        return isEjected(other, now);
    });
    if (static_cast<std::size_t>(ejected) >= maximumEjectedTargets(table)) {
        return;
    }
    const auto doublings = std::min(target.ejection.consecutiveEjections, MAXIMUM_EJECTION_DOUBLINGS);
    target.ejection.until = now + table.parameters.baseEjectionTime * (1U << doublings);
    target.ejection.consecutiveFailures = 0;
    ++target.ejection.consecutiveEjections;
}

void recordSuccess(TargetTable &table, TargetState &target, const SentRequest &request, Core::TimePoint now)
{
    const auto elapsed = elapsedMicroseconds(request.sentAt, now);
    updateTypical(table.typicalAnswerTime, elapsed);
    addSample(table.answerTimeQuantile, elapsed);
    target.answerTime.answers += 1;
    addOutcome(target.failures, false, now);
    target.ejection = {};
}

void recordFailure(TargetTable &table, TargetState &target, Core::TimePoint now)
{
    // A failure does not count as an answer, so that a target that fails fast does not appear fast.
    addOutcome(target.failures, true, now);
    ++target.ejection.consecutiveFailures;
    ejectIfFailing(table, target, now);
}

} // namespace

std::size_t subsetSize(std::size_t targets, std::size_t instances, std::size_t sendersPerTarget, std::size_t minimumSize)
{
    const auto divisor = std::max<std::size_t>(instances, 1);
    const auto covering = (targets * sendersPerTarget + divisor - 1) / divisor;
    return std::min(targets, std::max(covering, minimumSize));
}

std::vector<TargetRecord> subsetOf(const std::vector<TargetRecord> &all, const Core::InstanceId &instance, std::size_t size)
{
    if (size >= all.size()) {
        return all;
    }
    struct Weighted {
        std::uint64_t weight;
        const TargetRecord *record;
    };
    std::map<Core::DataCentreName, std::vector<Weighted>> byDataCentre;
    for (const auto &record : all) {
        byDataCentre[record.dataCentre].push_back({Core::rendezvousWeight(record.id.value, instance.value), &record});
    }
    std::vector<TargetRecord> subset;
    for (auto &[dataCentre, weighted] : byDataCentre) {
        std::ranges::sort(weighted, std::greater{}, &Weighted::weight);
        const auto part = (weighted.size() * size + all.size() - 1) / all.size();
        weighted.resize(std::min(part, weighted.size()));
        std::ranges::transform(weighted, std::back_inserter(subset), [](const Weighted &entry) {
            return *entry.record;
        });
    }
    return subset;
}

void updateTargets(TargetTable &table, const std::vector<TargetRecord> &records)
{
    std::vector<TargetState> targets;
    std::unordered_map<Core::TargetId, std::size_t> indexById;
    for (const auto &record : records) {
        if (!indexById.emplace(record.id, targets.size()).second) {
            continue;
        }
        auto *known = findTarget(table, record.id);
        targets.push_back(known ? std::move(*known) : TargetState{});
        targets.back().record = record;
    }
    table.targets = std::move(targets);
    table.indexById = std::move(indexById);
}

TargetState *findTarget(TargetTable &table, const Core::TargetId &id)
{
    const auto found = table.indexById.find(id);
    return found == table.indexById.end() ? nullptr : &table.targets[found->second];
}

const TargetState *findTarget(const TargetTable &table, const Core::TargetId &id)
{
    const auto found = table.indexById.find(id);
    return found == table.indexById.end() ? nullptr : &table.targets[found->second];
}

double estimatedInFlight(const TargetTable &table, const TargetState &target, Core::TimePoint now)
{
    return target.ownInFlight + estimatedPeerInFlight(table, target, now);
}

double sendCost(const TargetTable &table, const TargetState &target, Core::TimePoint now)
{
    const auto estimate = estimateAt(target.answerTime, target.waiting.size(), table.parameters.answerDecayTime, now);
    const auto time = answerTime(estimate, typicalAnswerTime(table), PRIOR_ANSWERS);
    const auto load = (OWN_REQUEST_WEIGHT * target.ownInFlight + estimatedPeerInFlight(table, target, now)) / slotsOf(table, target);
    const auto successShare = 1 - std::min(failureShareAt(target.failures, now), MAXIMUM_FAILURE_SHARE);
    return time * (1 + load) / successShare + distanceTo(table, target);
}

SentRequest recordSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now)
{
    auto *target = findTarget(table, id);
    if (!target) {
        return {.target = id, .sentAt = now};
    }
    updateAnswerTime(table, *target, now);
    ++target->ownInFlight;
    target->waiting.push_back(now);
    return {.target = id, .sentAt = now};
}

void recordAnswer(TargetTable &table, const SentRequest &request, const Outcome &outcome, Core::TimePoint now)
{
    auto *target = findTarget(table, request.target);
    if (!target) {
        return;
    }
    updateAnswerTime(table, *target, now);
    const auto sent = std::ranges::find(target->waiting, request.sentAt);
    if (sent != target->waiting.end()) {
        target->waiting.erase(sent);
    }
    if (outcome.report) {
        storeLoadReport(table, *target, *outcome.report, now);
    }
    switch (outcome.kind) {
    case OutcomeKind::Success:
        recordSuccess(table, *target, request, now);
        return;
    case OutcomeKind::Failure:
        recordFailure(table, *target, now);
        return;
    case OutcomeKind::Shed:
        // A target that sheds load is busy, not faulty. Its cost rises, but it is not ejected, since that would overload the others.
        addOutcome(target->failures, true, now);
        return;
    case OutcomeKind::Cancelled:
        return;
    }
}

void recordLoadReport(TargetTable &table, const Core::TargetId &id, const LoadReport &report, Core::TimePoint now)
{
    if (auto *target = findTarget(table, id)) {
        storeLoadReport(table, *target, report, now);
    }
}

void recordFinished(TargetTable &table, const SentRequest &request)
{
    auto *target = findTarget(table, request.target);
    if (!target || target->ownInFlight == 0) {
        return;
    }
    --target->ownInFlight;
}

std::chrono::microseconds hedgeDelay(const TargetTable &table)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(table.answerTimeQuantile.estimate)};
}

bool hasRoomForHedge(const TargetTable &table, const Core::TargetId &id, Core::TimePoint now)
{
    const auto *target = findTarget(table, id);
    return target && estimatedInFlight(table, *target, now) < MAXIMUM_REQUESTS_PER_SLOT_TO_HEDGE * slotsOf(table, *target);
}

bool isEjected(const TargetState &target, Core::TimePoint now)
{
    return target.ejection.until && now < *target.ejection.until;
}

} // namespace Briarbend::Routing
