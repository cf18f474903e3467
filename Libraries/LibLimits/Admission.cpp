#include <LibLimits/Admission.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Limits
{

namespace
{

using Configuration::TrafficClass;
using Seconds = std::chrono::duration<double>;

/// Drain rate below which there are too few samples to predict a wait.
constexpr double MINIMUM_DRAIN_RATE_PER_SECOND = 1;
constexpr std::size_t REQUESTS_PER_SLOT = 2;
constexpr std::chrono::milliseconds MINIMUM_RETRY_AFTER{100};
/// Divisor that gives the weight of a new sample in the smoothed time to the head of an answer.
constexpr int TIME_TO_HEAD_EWMA_DIVISOR = 16;

ClassQueue &queueOf(AdmissionControl &admission, TrafficClass trafficClass)
{
    return admission.classes[static_cast<std::size_t>(trafficClass)];
}

const ClassQueue &queueOf(const AdmissionControl &admission, TrafficClass trafficClass)
{
    return admission.classes[static_cast<std::size_t>(trafficClass)];
}

std::uint32_t classLimit(const AdmissionControl &admission, TrafficClass trafficClass)
{
    const auto &parameters = admission.parameters;
    if (trafficClass == TrafficClass::Interactive) {
        return parameters.inFlight;
    }
    return std::max(1U, static_cast<std::uint32_t>(parameters.bulkShare * parameters.inFlight));
}

bool hasRoom(const AdmissionControl &admission, TrafficClass trafficClass)
{
    const auto total = admission.classes[0].inFlight + admission.classes[1].inFlight;
    return total < admission.parameters.inFlight && queueOf(admission, trafficClass).inFlight < classLimit(admission, trafficClass);
}

/// Predicted time until a request that has the given number of requests ahead of it is sent.
Core::Duration expectedWait(const ClassQueue &queue, std::size_t before, Core::TimePoint now)
{
    const auto rate = eventsPerSecond(queue.completions, now);
    if (rate < MINIMUM_DRAIN_RATE_PER_SECOND) {
        return Core::Duration{0};
    }
    return std::chrono::duration_cast<Core::Duration>(Seconds(static_cast<double>(before) / rate));
}

std::size_t waitingAhead(const ClassQueue &queue, Core::TimePoint deadline)
{
    return static_cast<std::size_t>(std::distance(queue.waiting.begin(), queue.waiting.upper_bound({deadline, ~0ULL})));
}

AdmissionDecision
refusal(const AdmissionControl &admission, TrafficClass trafficClass, RefusalReason reason, Core::TimePoint now, Core::Random &random)
{
    return {.kind = AdmissionKind::Refuse,
            .ticket = std::nullopt,
            .reason = reason,
            .retryAfter = retryAfter(admission, trafficClass, now, random)};
}

Ticket enqueue(AdmissionControl &admission, ClassQueue &queue, Core::TimePoint deadline)
{
    const Ticket ticket{deadline, admission.nextTicketNumber++};
    queue.waiting.insert(ticket);
    return ticket;
}

} // namespace

std::uint32_t inFlightLimit(std::size_t slotsOfAllTargets, std::size_t instances)
{
    const auto divisor = std::max<std::size_t>(instances, 1);
    const auto limit = (REQUESTS_PER_SLOT * slotsOfAllTargets + divisor - 1) / divisor;
    return static_cast<std::uint32_t>(std::max(limit, REQUESTS_PER_SLOT));
}

AdmissionDecision
admit(AdmissionControl &admission, TrafficClass trafficClass, Core::TimePoint deadline, Core::TimePoint now, Core::Random &random)
{
    auto &queue = queueOf(admission, trafficClass);
    if (deadline <= now) {
        return refusal(admission, trafficClass, RefusalReason::DeadlinePassed, now, random);
    }
    if (queue.waiting.empty() && hasRoom(admission, trafficClass)) {
        ++queue.inFlight;
        return {.kind = AdmissionKind::Admit, .ticket = std::nullopt, .reason = std::nullopt};
    }
    if (queue.waiting.size() >= admission.parameters.waitingPerClass) {
        return refusal(admission, trafficClass, RefusalReason::QueueFull, now, random);
    }
    const auto wait = expectedWait(queue, waitingAhead(queue, deadline) + 1, now);
    if (now + wait + queue.smoothedTimeToHead > deadline) {
        return refusal(admission, trafficClass, RefusalReason::DeadlineTooShort, now, random);
    }
    return {.kind = AdmissionKind::Queue, .ticket = enqueue(admission, queue, deadline), .reason = std::nullopt};
}

Ticket requeue(AdmissionControl &admission, TrafficClass trafficClass, Core::TimePoint deadline)
{
    auto &queue = queueOf(admission, trafficClass);
    queue.inFlight -= queue.inFlight > 0 ? 1 : 0;
    return enqueue(admission, queue, deadline);
}

std::optional<QueuedRequest> dequeueRunnable(AdmissionControl &admission, Core::TimePoint now)
{
    for (const auto trafficClass : {TrafficClass::Interactive, TrafficClass::Bulk}) {
        auto &queue = queueOf(admission, trafficClass);
        const auto next = queue.waiting.upper_bound({now, ~0ULL});
        if (next == queue.waiting.end() || !hasRoom(admission, trafficClass)) {
            continue;
        }
        const auto ticket = *next;
        queue.waiting.erase(next);
        ++queue.inFlight;
        return QueuedRequest{.ticket = ticket, .trafficClass = trafficClass};
    }
    return std::nullopt;
}

std::vector<QueuedRequest> dequeueExpired(AdmissionControl &admission, Core::TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (const auto trafficClass : {TrafficClass::Interactive, TrafficClass::Bulk}) {
        auto &queue = queueOf(admission, trafficClass);
        const auto last = queue.waiting.upper_bound({now + queue.smoothedTimeToHead, ~0ULL});
        std::for_each(queue.waiting.begin(), last, [&](const Ticket &ticket) {
            expired.push_back({.ticket = ticket, .trafficClass = trafficClass});
        });
        queue.waiting.erase(queue.waiting.begin(), last);
    }
    return expired;
}

void cancelWaiting(AdmissionControl &admission, const QueuedRequest &request)
{
    queueOf(admission, request.trafficClass).waiting.erase(request.ticket);
}

void recordCompletion(AdmissionControl &admission, TrafficClass trafficClass, Core::Duration timeToHead, Core::TimePoint now)
{
    auto &queue = queueOf(admission, trafficClass);
    queue.inFlight -= queue.inFlight > 0 ? 1 : 0;
    addEvents(queue.completions, 1, now);
    queue.smoothedTimeToHead
        += queue.smoothedTimeToHead.count() > 0 ? (timeToHead - queue.smoothedTimeToHead) / TIME_TO_HEAD_EWMA_DIVISOR : timeToHead;
}

std::chrono::milliseconds
retryAfter(const AdmissionControl &admission, TrafficClass trafficClass, Core::TimePoint now, Core::Random &random)
{
    const auto &queue = queueOf(admission, trafficClass);
    const auto wait = expectedWait(queue, queue.waiting.size() + queue.inFlight, now) + queue.smoothedTimeToHead;
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(wait);
    const auto base = std::clamp(milliseconds, MINIMUM_RETRY_AFTER, admission.parameters.maximumRetryAfter);
    return base + std::chrono::milliseconds{random.below(static_cast<std::size_t>(base.count()) + 1)};
}

} // namespace Briarbend::Limits
