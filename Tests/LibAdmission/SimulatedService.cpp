#include <Tests/LibAdmission/SimulatedService.h>

#include <algorithm>

namespace Briarbend::Admission
{

namespace
{

constexpr std::size_t INSTANCES = 10;
constexpr std::uint32_t SLOTS = 3;
constexpr std::chrono::milliseconds STEP{5};
constexpr std::size_t MAXIMUM_PROBES = 9;
/// Targets slow down by this factor while more than four fifths of their slots are in use.
constexpr double NEARLY_FULL_OCCUPANCY = 0.8;
constexpr double NEARLY_FULL_SLOWNESS = 1.35;

} // namespace

SimulatedService::SimulatedService(std::size_t targetCount, bool sharesByValue, std::uint64_t seed)
    : isByValue(sharesByValue)
    , random(seed)
    , instances(INSTANCES)
{
    std::vector<Fleet::TargetRecord> records;
    for (std::size_t index = 0; index < targetCount; ++index) {
        Fleet::TargetRecord record;
        record.name = std::to_string(1000 + index);
        record.slots = SLOTS;
        this->targets[record.name].slotsFreeAt.resize(SLOTS);
        records.push_back(record);
    }
    for (auto &instance : this->instances) {
        Fleet::updateTargets(instance.service, records, this->now);
    }
}

void SimulatedService::keepTargets(std::size_t targetCount)
{
    const auto first = std::next(this->targets.begin(), static_cast<std::ptrdiff_t>(targetCount));
    this->targets.erase(first, this->targets.end());
}

void SimulatedService::run(std::chrono::milliseconds duration, const std::vector<Load> &loads)
{
    for (const auto end = this->now + duration; this->now < end; this->now += STEP) {
        this->step(loads);
    }
}

void SimulatedService::step(const std::vector<Load> &loads)
{
    for (auto &instance : this->instances) {
        const auto ended = std::erase_if(instance.ends, [this](Core::TimePoint end) {
            return end <= this->now;
        });
        if (ended > 0) {
            recordFreedSlot(instance.admission.queue, this->now);
        }
        for (const auto &load : loads) {
            const auto expected = load.perSecond * std::chrono::duration<double>(STEP).count() / INSTANCES;
            if (this->random.unit() < expected) {
                this->arrive(instance, load);
            }
        }
        this->advanceQueue(instance);
    }
}

void SimulatedService::arrive(Instance &instance, const Load &load)
{
    const Request request{load, this->now};
    auto &admission = instance.admission;
    ++this->outcomes[load.priority].arrived;
    recordArrival(admission.demand, load.priority, Core::milliseconds(load.work), this->now);
    const bool waitsFirst = this->isByValue && planSearch(admission, load.priority, this->now).reservedShare > 0
        && isAnyAhead(admission.queue, this->describe(request), admission.demand, this->now);
    if (!waitsFirst && this->search(instance, request, false)) {
        return;
    }
    if (!this->isByValue) {
        this->refuse(request);
        return;
    }
    ++this->queued;
    instance.waiting[enqueue(admission.queue, this->describe(request), admission.demand, this->now)] = request;
}

WaitingRequest SimulatedService::describe(const Request &request) const
{
    return {.id = 0,
            .priority = request.load.priority,
            .arrivedAt = request.arrivedAt,
            .latestStart = request.arrivedAt + request.load.objective - request.load.work,
            .objective = request.load.objective,
            .isSearching = false};
}

void SimulatedService::advanceQueue(Instance &instance)
{
    auto &queue = instance.admission.queue;
    std::erase_if(instance.waiting, [&](const auto &entry) {
        const auto &[id, request] = entry;
        const auto decision = decide(queue, id, instance.admission.demand, this->now);
        if (decision.step == WaitingStep::Refuse) {
            this->refuse(request);
            leave(queue, id);
            return true;
        }
        if (decision.step == WaitingStep::Wait) {
            return false;
        }
        beginSearch(queue, id, this->now);
        if (this->search(instance, request, true)) {
            leave(queue, id);
            recordFreedSlot(queue, this->now);
            return true;
        }
        endSearch(queue,
                  id,
                  searchInterval({.instances = INSTANCES, .targets = this->targets.size()}, Fleet::PARALLEL_PROBES),
                  this->random,
                  this->now);
        return false;
    });
}

bool SimulatedService::search(Instance &instance, const Request &request, bool isQueued)
{
    const auto objectiveLeft = request.arrivedAt + request.load.objective - this->now;
    Fleet::SlotRequest slot{.remaining = objectiveLeft + 1s, .objectiveLeft = objectiveLeft};
    std::size_t most = MAXIMUM_PROBES;
    if (this->isByValue) {
        const auto plan = planSearch(instance.admission, request.load.priority, this->now);
        const bool isFurther
            = !isQueued && mayProbeFurther(instance.admission, {.instances = INSTANCES, .targets = this->targets.size()}, this->now);
        slot.reservedShare = plan.reservedShare;
        slot.looksFurther = plan.looksFurther;
        slot.needsFreeSlot = plan.needsFreeSlot;
        most = isFurther ? MAXIMUM_PROBES : Fleet::PARALLEL_PROBES;
    }
    const Fleet::RouteStatistics route{.workMilliseconds = Core::milliseconds(request.load.work), .answerBytes = 1000};
    std::vector<const Fleet::TargetState *> answered;
    std::optional<Fleet::RankedTarget> best;
    while (answered.size() < most && !(best && Fleet::meetsObjective(slot, *best))) {
        for (std::size_t index = 0; index < Fleet::PARALLEL_PROBES; ++index) {
            const auto &name
                = std::next(this->targets.begin(), static_cast<std::ptrdiff_t>(this->random.below(this->targets.size())))->first;
            auto *target = Fleet::findTarget(instance.service, name);
            const auto load = this->inFlight(name);
            Fleet::recordLoadReport(instance.service,
                                    *target,
                                    {.running = std::min(load, SLOTS), .waiting = load - std::min(load, SLOTS), .slots = SLOTS},
                                    this->now);
            recordLoad(instance.admission.contention, std::min(load, SLOTS), SLOTS, this->now);
            answered.push_back(target);
        }
        best = Fleet::rank(instance.service, answered, route, {}, slot, this->now);
    }
    Limits::addEvents(instance.admission.probes, static_cast<double>(answered.size()), this->now);
    if (!best || !Fleet::isServable(slot, *best)) {
        recordFailedSearch(instance.admission.demand, request.load.priority, this->now);
        return false;
    }
    this->send(instance, request, best->target->record.name);
    return true;
}

void SimulatedService::send(Instance &instance, const Request &request, const std::string &target)
{
    auto &outcome = this->outcomes[request.load.priority];
    recordSent(instance.admission.demand, request.load.priority, this->now);
    if (this->random.unit() < this->shedShare) {
        this->refuse(request);
        return;
    }
    auto &state = this->targets.at(target);
    std::erase_if(state.ends, [this](Core::TimePoint end) {
        return end <= this->now;
    });
    const auto slot = std::ranges::min_element(state.slotsFreeAt);
    const bool isNearlyFull = this->inFlight(target) + 1 > NEARLY_FULL_OCCUPANCY * SLOTS;
    const auto work = std::chrono::duration_cast<Core::Duration>(request.load.work * (isNearlyFull ? NEARLY_FULL_SLOWNESS : 1.0));
    *slot = std::max(*slot, this->now) + work;
    state.ends.push_back(*slot);
    instance.ends.push_back(*slot);
    ++outcome.sent;
    outcome.inTime += *slot <= request.arrivedAt + request.load.objective ? 1 : 0;
}

void SimulatedService::refuse(const Request &request)
{
    auto &outcome = this->outcomes[request.load.priority];
    ++outcome.refused;
    outcome.refusedLate += this->now - request.arrivedAt > request.load.objective / REFUSAL_OBJECTIVE_DIVISOR + STEP ? 1 : 0;
}

std::uint32_t SimulatedService::inFlight(const std::string &target) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(this->targets.at(target).ends, [this](Core::TimePoint end) {
        return end > this->now;
    }));
}

double SimulatedService::reservedShare(std::uint32_t priority) const
{
    return planSearch(this->instances.front().admission, priority, this->now).reservedShare;
}

} // namespace Briarbend::Admission
