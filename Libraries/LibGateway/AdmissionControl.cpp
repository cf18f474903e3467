#include <LibGateway/AdmissionControl.h>

#include <algorithm>

namespace Briarbend::Gateway
{

namespace
{

std::string_view nameOf(Admission::RefusalCause cause)
{
    switch (cause) {
    case Admission::RefusalCause::None:
        return "";
    case Admission::RefusalCause::QueueFull:
        return "queue_full";
    case Admission::RefusalCause::ObjectiveMissed:
        return "objective_missed";
    case Admission::RefusalCause::NoProspect:
        return "no_prospect";
    }
    return "";
}

std::int64_t inMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

ServiceWaiters *waitersOf(const RequestContext &context)
{
    return context.service ? findServiceWaiters(context.state, *context.service) : nullptr;
}

Core::Duration expectedWork(const RequestContext &context)
{
    const std::chrono::duration<double, std::milli> work(context.state.routes.at(context.route->name).statistics.workMilliseconds);
    return std::chrono::duration_cast<Core::Duration>(work);
}

Admission::ProbeSharers probeSharers(const RequestContext &context)
{
    return {.instances = context.state.instances,
            .targets = context.service->targets.size(),
            .checksPerTarget = context.state.settings.admission.healthChecksPerTarget};
}

AdmissionCounters &countersOf(RequestContext &context)
{
    return context.state.counters.admission.at(Admission::priorityClass(context.priority));
}

Admission::WaitingRequest describe(const RequestContext &context)
{
    const auto now = Core::Clock::now();
    const auto untilLatestStart = std::min(context.objectiveLeft(), context.remaining()) - expectedWork(context);
    return {.id = 0,
            .priority = context.priority,
            .arrivedAt = context.arrivedAt,
            .latestStart = now + untilLatestStart,
            .objective = context.route->objective,
            .isSearching = false};
}

/// The flows decide again once the handler that runs now has returned.
void wakeAll(ServiceWaiters &waiters)
{
    std::ranges::for_each(waiters.timers, [](const auto &entry) {
        if (const auto timer = entry.second.lock()) {
            timer->cancel();
        }
    });
}

void logDecision(RequestContext &context, std::string_view decision, Admission::RefusalCause cause, std::optional<Core::Duration> wait)
{
    const auto *waiters = waitersOf(context);
    if (waiters == nullptr) {
        return;
    }
    const auto now = Core::Clock::now();
    const auto &admission = waiters->admission;
    nlohmann::ordered_json fields{{"request", context.attemptId},
                                  {"decision", decision},
                                  {"cause", nameOf(cause)},
                                  {"service", context.service->name.value},
                                  {"priority", context.priority},
                                  {"tenant", context.tenant},
                                  {"expected_work_ms", inMilliseconds(expectedWork(context))},
                                  {"threshold", Admission::planSearch(admission, context.priority, now).reservedShare},
                                  {"occupancy", Admission::occupancy(admission.contention)},
                                  {"queue_length", admission.queue.waiting.size()}};
    if (admission.contention.slots.weight > 0) {
        fields["threshold_age_ms"] = inMilliseconds(Admission::age(admission.contention, now));
    }
    if (wait) {
        fields["expected_wait_ms"] = inMilliseconds(*wait);
    }
    context.state.log.write(
        cause == Admission::RefusalCause::None ? Log::Importance::Routine : Log::Importance::Notable, "admission", fields);
}

} // namespace

ServiceWaiters *findServiceWaiters(GatewayState &state, const Fleet::ServiceState &service)
{
    if (!state.settings.admission.byValue) {
        return nullptr;
    }
    auto &waiters = state.waiters[service.name];
    if (!waiters) {
        waiters = std::make_shared<ServiceWaiters>();
    }
    return waiters.get();
}

void recordArrival(RequestContext &context)
{
    if (auto *waiters = waitersOf(context)) {
        ++countersOf(context).arrived;
        Admission::recordArrival(
            waiters->admission.demand, context.priority, Core::milliseconds(expectedWork(context)), Core::Clock::now());
    }
}

void recordProbes(GatewayState &state, const Fleet::ServiceState &service, std::size_t probes)
{
    if (auto *waiters = findServiceWaiters(state, service)) {
        Limits::addEvents(waiters->admission.probes, static_cast<double>(probes), Core::Clock::now());
    }
}

void recordSlotTaken(RequestContext &context)
{
    if (auto *waiters = waitersOf(context)) {
        Admission::recordSent(waiters->admission.demand, context.priority, Core::Clock::now());
    }
}

void recordFailedSearch(RequestContext &context)
{
    if (auto *waiters = waitersOf(context)) {
        Admission::recordFailedSearch(waiters->admission.demand, context.priority, Core::Clock::now());
    }
}

void recordSlotFreed(GatewayState &state, const Fleet::ServiceState &service)
{
    auto *waiters = findServiceWaiters(state, service);
    if (waiters != nullptr && !waiters->admission.queue.waiting.empty()) {
        Admission::recordFreedSlot(waiters->admission.queue, Core::Clock::now());
        wakeAll(*waiters);
    }
}

void planSearch(const RequestContext &context, TargetQuery &query)
{
    const auto *waiters = waitersOf(context);
    if (waiters == nullptr) {
        return;
    }
    const auto now = Core::Clock::now();
    const auto plan = Admission::planSearch(waiters->admission, context.priority, now);
    query.slot.reservedShare = plan.reservedShare;
    query.slot.looksFurther = plan.looksFurther;
    query.slot.needsFreeSlot = plan.needsFreeSlot;
    query.slot.needsShortTail = context.route->kind == Configuration::RouteKind::Once;
    const bool isQueued = context.waitingId != 0;
    const bool mayProbeFurther = !isQueued && Admission::mayProbeFurther(waiters->admission, probeSharers(context), now);
    query.maximumProbes = mayProbeFurther ? MAXIMUM_PROBES_PER_SEARCH : Fleet::PARALLEL_PROBES;
    // A second batch of probes costs some milliseconds, while half of the bytes between data centres were probes and their answers. The
    // most urgent requests of a contended service have no time for it, and a search with one batch must see all data centres.
    query.input.isOwnDataCentreFirst = mayProbeFurther && !plan.looksFurther;
}

bool mayHedgeByValue(const RequestContext &context)
{
    const auto *waiters = waitersOf(context);
    return waiters == nullptr || Admission::planSearch(waiters->admission, context.priority, Core::Clock::now()).reservedShare <= 0;
}

bool mustWaitFirst(const RequestContext &context)
{
    const auto *waiters = waitersOf(context);
    if (waiters == nullptr || waiters->admission.queue.waiting.empty()) {
        return false;
    }
    const auto now = Core::Clock::now();
    const auto request = describe(context);
    const auto &admission = waiters->admission;
    // The most urgent search at once: they may take slots that the queue may not.
    return request.latestStart > now && Admission::planSearch(admission, context.priority, now).reservedShare > 0
        && Admission::isAnyAhead(admission.queue, request, admission.demand, now);
}

void enterQueue(RequestContext &context, const std::shared_ptr<boost::asio::steady_timer> &timer)
{
    auto *waiters = waitersOf(context);
    if (waiters == nullptr) {
        return;
    }
    auto &admission = waiters->admission;
    context.queuedAt = Core::Clock::now();
    context.waitingId = Admission::enqueue(admission.queue, describe(context), admission.demand, context.queuedAt);
    waiters->timers[context.waitingId] = timer;
    const auto decision = decideWaiting(context);
    if (decision.step != Admission::WaitingStep::Refuse) {
        ++countersOf(context).queued;
        logDecision(context, "queue", Admission::RefusalCause::None, decision.expectedWait);
    }
    wakeAll(*waiters);
}

void leaveQueue(RequestContext &context)
{
    auto *waiters = context.waitingId == 0 ? nullptr : waitersOf(context);
    if (waiters == nullptr) {
        return;
    }
    Admission::leave(waiters->admission.queue, context.waitingId);
    waiters->timers.erase(context.waitingId);
    context.waitingId = 0;
    context.waitedForSlot += Core::Clock::now() - context.queuedAt;
    wakeAll(*waiters);
}

Admission::WaitingDecision decideWaiting(const RequestContext &context)
{
    const auto *waiters = waitersOf(context);
    if (waiters == nullptr) {
        return {.step = Admission::WaitingStep::Refuse,
                .decideAgainAt = {},
                .cause = Admission::RefusalCause::NoProspect,
                .expectedWait = std::nullopt};
    }
    return Admission::decide(waiters->admission.queue, context.waitingId, waiters->admission.demand, Core::Clock::now());
}

void beginQueuedSearch(RequestContext &context)
{
    if (auto *waiters = waitersOf(context)) {
        Admission::beginSearch(waiters->admission.queue, context.waitingId, Core::Clock::now());
    }
}

void endQueuedSearch(RequestContext &context)
{
    if (auto *waiters = waitersOf(context)) {
        const auto interval = Admission::searchInterval(probeSharers(context), Fleet::PARALLEL_PROBES);
        Admission::endSearch(waiters->admission.queue, context.waitingId, interval, context.state.random, Core::Clock::now());
        wakeAll(*waiters);
    }
}

std::chrono::milliseconds refuseWaiting(RequestContext &context, const Admission::WaitingDecision &decision)
{
    ++countersOf(context).refused;
    auto wait = decision.expectedWait;
    if (const auto *waiters = waitersOf(context); waiters != nullptr && !wait) {
        const auto &admission = waiters->admission;
        wait = Admission::expectedWait(admission.demand, context.priority, admission.queue.waiting.size(), Core::Clock::now());
    }
    logDecision(context, "refuse", decision.cause, wait);
    const bool isCallerTimeKnown = context.callerTimeout.count() > 0;
    return Admission::retryAfter({.priority = context.priority,
                                  .expectedWork = expectedWork(context),
                                  .objectiveLeft = context.objectiveLeft(),
                                  .callerLeft = isCallerTimeKnown ? context.callerTimeout - context.elapsed() : Core::Duration{0}},
                                 wait);
}

} // namespace Briarbend::Gateway
