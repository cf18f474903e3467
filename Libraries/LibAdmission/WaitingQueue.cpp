#include <LibAdmission/WaitingQueue.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Briarbend::Admission
{

namespace
{

/// Multiple of the expected wait that must be left for a request to wait beyond an eighth of its objective: the times at which slots become
/// free vary. It falls to one towards the latest start, so that a request that has waited for long is rarely refused after all. A margin of
/// 2.5 served as many requests and refused several times as many late.
constexpr double PROSPECT_MARGIN = 6;
/// Interval at which a request that waits decides again, since the queue ahead and the rate of slots change.
constexpr std::chrono::milliseconds DECISION_INTERVAL{100};

/// Requests of a priority below its floor precede all others, so that a queue of urgent ones does not hold them for ever.
std::uint32_t effectivePriority(const WaitingRequest &request, const Demand &demand, Core::TimePoint now)
{
    return isBelowFloor(demand, request.priority, now) ? 0 : request.priority + 1;
}

auto orderOf(const WaitingRequest &request, const Demand &demand, Core::TimePoint now)
{
    return std::tuple(effectivePriority(request, demand, now), request.latestStart, request.id);
}

auto find(auto &queue, std::uint64_t id)
{
    return std::ranges::find(queue.waiting, id, &WaitingRequest::id);
}

std::size_t countAhead(const WaitingQueue &queue, const WaitingRequest &request, const Demand &demand, Core::TimePoint now)
{
    const auto order = orderOf(request, demand, now);
    return static_cast<std::size_t>(std::ranges::count_if(queue.waiting, [&](const WaitingRequest &other) {
        return other.id != request.id && orderOf(other, demand, now) < order;
    }));
}

double prospectMargin(const WaitingRequest &request, Core::TimePoint refusedAt, Core::TimePoint now)
{
    const auto slack = Core::milliseconds(request.latestStart - refusedAt);
    const auto leftShare = slack > 0 ? std::clamp(Core::milliseconds(request.latestStart - now) / slack, 0.0, 1.0) : 1;
    return std::lerp(1.0, PROSPECT_MARGIN, leftShare);
}

/// Time of the next search of one request: the most urgent ones are refused after a short time, in which they search once more.
Core::TimePoint searchDue(const WaitingQueue &queue, const WaitingRequest &request, bool isMostUrgent)
{
    const auto refusedAt = request.arrivedAt + request.objective / REFUSAL_OBJECTIVE_DIVISOR;
    const auto lastChance = std::max(queue.lastSearchAt + MINIMUM_SEARCH_INTERVAL, refusedAt - MINIMUM_SEARCH_INTERVAL / 2);
    return isMostUrgent ? std::min(queue.nextSearchAt, lastChance) : queue.nextSearchAt;
}

} // namespace

std::uint64_t enqueue(WaitingQueue &queue, WaitingRequest request, const Demand &demand, Core::TimePoint now)
{
    request.id = ++queue.lastId;
    queue.waiting.push_back(request);
    if (queue.waiting.size() > QUEUE_CAPACITY) {
        const auto least = std::ranges::max_element(queue.waiting, {}, [&](const WaitingRequest &entry) {
            // A search in progress is not in vain; a request that cannot meet its objective leaves first.
            return std::tuple(!entry.isSearching, entry.latestStart <= now, orderOf(entry, demand, now));
        });
        queue.waiting.erase(least);
    }
    return request.id;
}

void leave(WaitingQueue &queue, std::uint64_t id)
{
    std::erase_if(queue.waiting, [id](const WaitingRequest &entry) {
        return entry.id == id;
    });
}

bool isAnyAhead(const WaitingQueue &queue, const WaitingRequest &request, const Demand &demand, Core::TimePoint now)
{
    return countAhead(queue, request, demand, now) > 0;
}

Core::Duration expectedWait(const Demand &demand, std::uint32_t priority, std::size_t ahead, Core::TimePoint now)
{
    const auto rate = slotsPerSecond(demand, priority, SEARCH_INTERVAL + SEARCH_INTERVAL_JITTER, now);
    return std::chrono::duration_cast<Core::Duration>(std::chrono::duration<double>(static_cast<double>(ahead + 1) / rate));
}

WaitingDecision decide(const WaitingQueue &queue, std::uint64_t id, const Demand &demand, Core::TimePoint now)
{
    const auto refusal = [](RefusalCause cause, std::optional<Core::Duration> wait) {
        return WaitingDecision{.step = WaitingStep::Refuse, .decideAgainAt = {}, .cause = cause, .expectedWait = wait};
    };
    const auto found = find(queue, id);
    if (found == queue.waiting.end()) {
        return refusal(RefusalCause::QueueFull, std::nullopt);
    }
    const auto &request = *found;
    const auto ahead = countAhead(queue, request, demand, now);
    // A priority below its floor precedes all others, so that it gets slots at the rate of all.
    const auto wait = expectedWait(demand, isBelowFloor(demand, request.priority, now) ? 0 : request.priority, ahead, now);
    if (now >= request.latestStart) {
        return refusal(RefusalCause::ObjectiveMissed, wait);
    }
    const bool isMostUrgent = !hasMoreUrgent(demand, request.priority, now);
    const auto refusedAt = request.arrivedAt + request.objective / REFUSAL_OBJECTIVE_DIVISOR;
    const auto left = request.latestStart - now;
    const bool hasProspect = !isMostUrgent && prospectMargin(request, refusedAt, now) * wait <= left;
    const bool isHopeless = !isMostUrgent && wait > left;
    if (isHopeless || (!hasProspect && now >= refusedAt)) {
        return refusal(RefusalCause::NoProspect, wait);
    }
    const auto due = searchDue(queue, request, isMostUrgent);
    const bool maySearch = ahead == 0 && std::ranges::none_of(queue.waiting, &WaitingRequest::isSearching);
    const auto again = std::min({request.latestStart, hasProspect ? now + DECISION_INTERVAL : refusedAt, now + DECISION_INTERVAL});
    return {.step = maySearch && now >= due ? WaitingStep::Search : WaitingStep::Wait,
            .decideAgainAt = maySearch ? std::min(again, std::max(due, now)) : again,
            .cause = RefusalCause::None,
            .expectedWait = wait};
}

void beginSearch(WaitingQueue &queue, std::uint64_t id, Core::TimePoint now)
{
    if (const auto found = find(queue, id); found != queue.waiting.end()) {
        found->isSearching = true;
        queue.lastSearchAt = now;
    }
}

void endSearch(WaitingQueue &queue, std::uint64_t id, std::chrono::milliseconds interval, Core::Random &random, Core::TimePoint now)
{
    if (const auto found = find(queue, id); found != queue.waiting.end()) {
        found->isSearching = false;
    }
    const std::chrono::duration<double, std::milli> jitter(random.unit() * static_cast<double>(SEARCH_INTERVAL_JITTER.count()));
    queue.lastSearchAt = now;
    queue.nextSearchAt = now + interval + std::chrono::duration_cast<Core::Duration>(jitter);
}

void recordFreedSlot(WaitingQueue &queue, Core::TimePoint now)
{
    queue.nextSearchAt = std::min(queue.nextSearchAt, std::max(now, queue.lastSearchAt + MINIMUM_SEARCH_INTERVAL));
}

} // namespace Briarbend::Admission
