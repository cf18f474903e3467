#pragma once

#include <LibAdmission/Demand.h>
#include <LibCore/Random.h>

#include <optional>
#include <vector>

namespace Briarbend::Admission
{

/// Requests that may wait for one service at one instance. With some ten requests per second at an instance, further ones have no prospect.
constexpr std::size_t QUEUE_CAPACITY = 24;
/// Part of the objective after which a request without a good prospect of a slot is refused.
constexpr int REFUSAL_OBJECTIVE_DIVISOR = 8;
/// Interval between the searches of a queue's head, before jitter.
constexpr std::chrono::milliseconds SEARCH_INTERVAL{100};
constexpr std::chrono::milliseconds SEARCH_INTERVAL_JITTER{50};
/// Pause after a search before a freed slot causes the next one.
constexpr std::chrono::milliseconds MINIMUM_SEARCH_INTERVAL{20};

/// A request that waits for a slot of a service.
struct WaitingRequest {
    std::uint64_t id{0};
    std::uint32_t priority{0};
    Core::TimePoint arrivedAt;
    /// The latest start with which the request still meets its objective at the usual speed.
    Core::TimePoint latestStart;
    std::chrono::milliseconds objective{0};
    bool isSearching{false};
};

/// The requests of one instance that wait for a slot of one service.
struct WaitingQueue {
    std::vector<WaitingRequest> waiting;
    std::uint64_t lastId{0};
    Core::TimePoint lastSearchAt;
    Core::TimePoint nextSearchAt;
};

enum class RefusalCause {
    None,
    QueueFull,
    /// The objective cannot be met any more.
    ObjectiveMissed,
    /// The queue ahead and the rate of slots leave no prospect of one in time.
    NoProspect,
};

enum class WaitingStep {
    Wait,
    Search,
    Refuse,
};

/// What a waiting request does now, and when this is to be decided again.
struct WaitingDecision {
    WaitingStep step{WaitingStep::Wait};
    Core::TimePoint decideAgainAt;
    RefusalCause cause{RefusalCause::None};
    /// Time until a slot is expected; nothing if the request left a full queue.
    std::optional<Core::Duration> expectedWait;
};

/// Adds the request and returns its identifier. In a full queue, the least urgent request leaves, which may be the new one.
std::uint64_t enqueue(WaitingQueue &queue, WaitingRequest request, const Demand &demand, Core::TimePoint now);

void leave(WaitingQueue &queue, std::uint64_t id);

/// True if a request with this priority and latest start would not be the first of the queue.
bool isAnyAhead(const WaitingQueue &queue, const WaitingRequest &request, const Demand &demand, Core::TimePoint now);

/// Time until a slot for a request that has so many others ahead of it.
Core::Duration expectedWait(const Demand &demand, std::uint32_t priority, std::size_t ahead, Core::TimePoint now);

WaitingDecision decide(const WaitingQueue &queue, std::uint64_t id, const Demand &demand, Core::TimePoint now);

void beginSearch(WaitingQueue &queue, std::uint64_t id, Core::TimePoint now);
/// Ends a search that found no slot.
void endSearch(WaitingQueue &queue, std::uint64_t id, std::chrono::milliseconds interval, Core::Random &random, Core::TimePoint now);
/// A request of this instance has ended at a target, or a waiting request has received a slot.
void recordFreedSlot(WaitingQueue &queue, Core::TimePoint now);

} // namespace Briarbend::Admission
