#include <LibRouting/TargetTable.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace Briarbend::Routing
{

namespace
{

using Microseconds = std::chrono::duration<double, std::micro>;

/// Weight of a new sample in a target's service time.
constexpr double SERVICE_TIME_WEIGHT = 0.3;
/// Weight of a new sample in the service time over all targets.
constexpr double TYPICAL_WEIGHT = 0.02;
/// Weight of a new outcome in the failure share.
constexpr double FAILURE_WEIGHT = 0.2;
/// Limit of the failure share in estimates, so that a failing target still has a finite cost.
constexpr double LARGEST_FAILURE_SHARE = 0.95;
/// Service time assumed before the first answer.
constexpr double FIRST_SERVICE_TIME = 1000;
/// Limit of the doublings of the ejection time.
constexpr std::uint32_t MOST_DOUBLINGS = 5;

double microsecondsBetween(Core::TimePoint from, Core::TimePoint to)
{
    return std::max(0.0, Microseconds(to - from).count());
}

double slotsOf(const TargetTable &table, const TargetState &target)
{
    const bool isReported = target.evidence && target.evidence->report.slots > 0;
    return std::max(1U, isReported ? target.evidence->report.slots : table.parameters.slots);
}

double distanceTo(const TargetTable &table, const TargetState &target)
{
    const bool isNear = target.description.dataCentre == table.parameters.ownDataCentre;
    return isNear ? 0.0 : Microseconds(table.parameters.distance).count();
}

/// Slots' worth of requests that must finish before the last of `position` requests does.
double roundsFor(double position, double slots)
{
    return std::max(1.0, position / slots);
}

double typicalServiceTime(const TargetTable &table)
{
    return table.typicalServiceTime > 0 ? table.typicalServiceTime : FIRST_SERVICE_TIME;
}

void addSample(double &average, double sample, double weight)
{
    average = average > 0 ? average + weight * (sample - average) : sample;
}

std::size_t largestEjectedCount(const TargetTable &table)
{
    return static_cast<std::size_t>(table.parameters.ejectedShare * static_cast<double>(table.targets.size()));
}

void ejectIfFailing(TargetTable &table, TargetState &target, Core::TimePoint now)
{
    if (target.ejection.failuresInRow < table.parameters.failuresToEject || isEjected(target, now)) {
        return;
    }
    const auto ejected = std::ranges::count_if(table.targets, [now](const TargetState &other) {
        return isEjected(other, now);
    });
    if (static_cast<std::size_t>(ejected) >= largestEjectedCount(table)) {
        return;
    }
    const auto doublings = std::min(target.ejection.repeats, MOST_DOUBLINGS);
    target.ejection.until = now + table.parameters.ejectionTime * (1U << doublings);
    target.ejection.failuresInRow = 0;
    ++target.ejection.repeats;
}

void recordSuccess(TargetTable &table, TargetState &target, const SentRequest &request, Core::TimePoint now)
{
    const auto elapsed = microsecondsBetween(request.sentAt, now) - distanceTo(table, target);
    const auto sample = std::max(1.0, elapsed) / roundsFor(request.positionAtSend, slotsOf(table, target));
    addSample(target.serviceTime, sample, SERVICE_TIME_WEIGHT);
    addSample(table.typicalServiceTime, sample, TYPICAL_WEIGHT);
    target.failureShare -= FAILURE_WEIGHT * target.failureShare;
    target.ejection = {};
}

void recordFailure(TargetTable &table, TargetState &target, Core::TimePoint now)
{
    // The time to a failure says nothing about the speed of the target, so it leaves the service time alone.
    target.failureShare += FAILURE_WEIGHT * (1 - target.failureShare);
    ++target.ejection.failuresInRow;
    ejectIfFailing(table, target, now);
}

} // namespace

std::size_t subsetSize(std::size_t targets, std::size_t instances, std::size_t sendersPerTarget, std::size_t smallest)
{
    const auto divisor = std::max<std::size_t>(instances, 1);
    const auto covering = (targets * sendersPerTarget + divisor - 1) / divisor;
    return std::min(targets, std::max(covering, smallest));
}

std::vector<TargetDescription> subsetOf(const std::vector<TargetDescription> &all, const Core::InstanceId &instance, std::size_t size)
{
    if (size >= all.size()) {
        return all;
    }
    struct Weighted {
        std::uint64_t weight;
        const TargetDescription *description;
    };
    std::map<Core::DataCentreName, std::vector<Weighted>> byDataCentre;
    for (const auto &description : all) {
        byDataCentre[description.dataCentre].push_back({Core::rendezvousWeight(description.id.value, instance.value), &description});
    }
    std::vector<TargetDescription> subset;
    for (auto &[dataCentre, weighted] : byDataCentre) {
        std::ranges::sort(weighted, std::greater{}, &Weighted::weight);
        const auto part = (weighted.size() * size + all.size() - 1) / all.size();
        weighted.resize(std::min(part, weighted.size()));
        std::ranges::transform(weighted, std::back_inserter(subset), [](const Weighted &entry) {
            return *entry.description;
        });
    }
    return subset;
}

void updateTargets(TargetTable &table, const std::vector<TargetDescription> &descriptions)
{
    std::vector<TargetState> targets;
    std::unordered_map<Core::TargetId, std::size_t> indexById;
    for (const auto &description : descriptions) {
        if (!indexById.emplace(description.id, targets.size()).second) {
            continue;
        }
        auto *known = findTarget(table, description.id);
        targets.push_back(known ? std::move(*known) : TargetState{});
        targets.back().description = description;
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
    const double own = target.ownInFlight;
    if (!target.evidence || now - target.evidence->receivedAt > table.parameters.reportLifetime) {
        return own;
    }
    const auto &evidence = *target.evidence;
    const auto corrected = static_cast<double>(evidence.report.inFlight) + evidence.sentSince - evidence.finishedSince;
    return std::max(own, corrected);
}

double expectedLatency(const TargetTable &table, const TargetState &target, Core::TimePoint now)
{
    const auto slots = slotsOf(table, target);
    const auto rounds = roundsFor(estimatedInFlight(table, target, now) + 1, slots);
    auto serviceTime = target.serviceTime > 0 ? target.serviceTime : typicalServiceTime(table);
    if (!target.waiting.empty()) {
        // A request that is overdue shows a slowdown before any answer does.
        serviceTime = std::max(serviceTime, microsecondsBetween(target.waiting.front(), now) / rounds);
    }
    const auto successShare = 1 - std::min(target.failureShare, LARGEST_FAILURE_SHARE);
    return (serviceTime * rounds + distanceTo(table, target)) / successShare;
}

SentRequest recordSent(TargetTable &table, const Core::TargetId &id, Core::TimePoint now)
{
    auto *target = findTarget(table, id);
    if (!target) {
        return {.target = id, .sentAt = now, .positionAtSend = 1};
    }
    const auto position = estimatedInFlight(table, *target, now) + 1;
    ++target->ownInFlight;
    target->waiting.push_back(now);
    if (target->evidence) {
        ++target->evidence->sentSince;
    }
    return {.target = id, .sentAt = now, .positionAtSend = position};
}

void recordAnswer(TargetTable &table, const SentRequest &request, const Outcome &outcome, Core::TimePoint now)
{
    auto *target = findTarget(table, request.target);
    if (!target) {
        return;
    }
    const auto sent = std::ranges::find(target->waiting, request.sentAt);
    if (sent != target->waiting.end()) {
        target->waiting.erase(sent);
    }
    if (outcome.report) {
        target->evidence = LoadEvidence{.report = *outcome.report, .receivedAt = now};
    }
    switch (outcome.kind) {
    case OutcomeKind::Success:
        recordSuccess(table, *target, request, now);
        return;
    case OutcomeKind::Failure:
    case OutcomeKind::Refused:
        recordFailure(table, *target, now);
        return;
    case OutcomeKind::Cancelled:
        return;
    }
}

void recordFinished(TargetTable &table, const SentRequest &request)
{
    auto *target = findTarget(table, request.target);
    if (!target || target->ownInFlight == 0) {
        return;
    }
    --target->ownInFlight;
    if (target->evidence) {
        ++target->evidence->finishedSince;
    }
}

bool isEjected(const TargetState &target, Core::TimePoint now)
{
    return target.ejection.until && now < *target.ejection.until;
}

} // namespace Briarbend::Routing
