#include <LibAdmission/ServiceAdmission.h>

#include <gtest/gtest.h>

namespace Briarbend::Admission
{

namespace
{

using namespace std::chrono_literals;

constexpr Core::TimePoint START{100s};

/// A demand with a known rate of slots for the least urgent requests.
Demand demandOf(double urgentArrivals, double cheapSends, double failedSearches = 0)
{
    Demand demand;
    if (urgentArrivals > 0) {
        recordArrival(demand, 0, 90, START);
    }
    Limits::addEvents(demand.byPriority.at(2).sent, cheapSends, START);
    Limits::addEvents(demand.byPriority.at(2).failedSearches, failedSearches, START);
    Limits::addEvents(demand.byPriority.at(0).sent, 4 * cheapSends, START);
    return demand;
}

WaitingRequest request(std::uint32_t priority, std::chrono::milliseconds slack, std::chrono::milliseconds objective = 3000ms)
{
    return {.id = 0, .priority = priority, .arrivedAt = START, .latestStart = START + slack, .objective = objective, .isSearching = false};
}

} // namespace

// Load that swings around one threshold would switch the reserve on and off with each search.
TEST(Contention, oscillatingOccupancyKeepsTheState)
{
    Contention contention;
    auto now = START;
    int changes = 0;
    for (int index = 0; index < 400; ++index, now += 20ms) {
        const bool was = isContended(contention, now);
        // Alternates between 0.6 and 0.85 every 0.8 s.
        recordLoad(contention, (index / 40) % 2 == 0 ? 17 : 12, 20, now);
        changes += isContended(contention, now) != was ? 1 : 0;
    }
    EXPECT_EQ(changes, 1);
    EXPECT_FALSE(isContended(contention, now + 2s)) << "an instance without recent load reports admits everything";
}

// A slot that stays free for urgent requests would starve the others for as long as the urgent ones flood the service.
TEST(Demand, priorityBelowItsFloorIgnoresTheReserve)
{
    ServiceAdmission service;
    for (int index = 0; index < 50; ++index) {
        recordArrival(service.demand, 0, 90, START);
        recordArrival(service.demand, 2, 560, START);
        recordSent(service.demand, 0, START);
    }
    recordLoad(service.contention, 3, 3, START);
    EXPECT_EQ(planSearch(service, 2, START).reservedShare, 0);
    for (int index = 0; index < 20; ++index) {
        recordSent(service.demand, 2, START);
    }
    EXPECT_GT(planSearch(service, 2, START).reservedShare, 0);
    EXPECT_EQ(planSearch(service, 0, START).reservedShare, 0);
    EXPECT_TRUE(planSearch(service, 0, START).looksFurther);
}

// First come, first served lets a request with seconds of slack precede one that is about to miss its objective.
TEST(WaitingQueue, headIsTheMostUrgentThenTheOneWithTheEarliestLatestStart)
{
    WaitingQueue queue;
    const auto demand = demandOf(1, 30);
    const auto slack = enqueue(queue, request(2, 2900ms), demand, START);
    const auto tight = enqueue(queue, request(2, 2400ms), demand, START);
    const auto urgent = enqueue(queue, request(0, 160ms, 250ms), demand, START);
    const auto searches = [&](std::uint64_t id) {
        return decide(queue, id, demand, START).step == WaitingStep::Search;
    };
    EXPECT_TRUE(searches(urgent));
    EXPECT_FALSE(searches(tight));
    leave(queue, urgent);
    EXPECT_TRUE(searches(tight));
    beginSearch(queue, tight, START);
    EXPECT_FALSE(searches(slack)) << "one search at a time bounds the health checks";
    Core::Random random{1};
    endSearch(queue, tight, SEARCH_INTERVAL, random, START);
    EXPECT_FALSE(searches(tight));
    recordFreedSlot(queue, START);
    EXPECT_EQ(decide(queue, tight, demand, START + MINIMUM_SEARCH_INTERVAL).step, WaitingStep::Search);
}

// Requests that were held although they could not be served used up the time in which their callers could have retried.
TEST(WaitingQueue, requestWithoutProspectIsRefusedEarlyAndOneWithProspectIsNot)
{
    WaitingQueue queue;
    const auto id = enqueue(queue, request(2, 2400ms), demandOf(1, 0), START);
    const auto fast = demandOf(1, 30);
    const auto slow = demandOf(1, 0, 10);
    const auto none = demandOf(1, 0, 30);
    EXPECT_EQ(decide(queue, id, none, START).cause, RefusalCause::NoProspect) << "no slot is expected within its slack";
    EXPECT_NE(decide(queue, id, slow, START + 374ms).step, WaitingStep::Refuse);
    EXPECT_EQ(decide(queue, id, slow, START + 375ms).cause, RefusalCause::NoProspect);
    EXPECT_NE(decide(queue, id, demandOf(1, 0), START + 375ms).step, WaitingStep::Refuse) << "an instance with little traffic waits";
    EXPECT_NE(decide(queue, id, fast, START + 1s).step, WaitingStep::Refuse);
    EXPECT_EQ(decide(queue, id, fast, START + 2400ms).cause, RefusalCause::ObjectiveMissed);
}

// A queue filled with slack work would refuse the urgent requests that arrive after it.
TEST(WaitingQueue, fullQueueShedsTheLeastUrgent)
{
    WaitingQueue queue;
    const auto demand = demandOf(1, 30);
    std::vector<std::uint64_t> ids;
    for (std::size_t index = 0; index < QUEUE_CAPACITY; ++index) {
        ids.push_back(enqueue(queue, request(2, 2000ms + std::chrono::milliseconds(index)), demand, START));
    }
    const auto urgent = enqueue(queue, request(1, 300ms, 600ms), demand, START);
    EXPECT_EQ(decide(queue, ids.back(), demand, START).cause, RefusalCause::QueueFull);
    EXPECT_NE(decide(queue, urgent, demand, START).step, WaitingStep::Refuse);
    const auto last = enqueue(queue, request(2, 2900ms), demand, START);
    EXPECT_EQ(decide(queue, last, demand, START).cause, RefusalCause::QueueFull);
}

// Callers honour Retry-After up to a third of the time that they have left; jitter adds up to half.
TEST(RetryAfter, isEarlierForTheMoreUrgentAndWithinWhatCallersHonour)
{
    const auto delay = [](std::uint32_t priority, Core::Duration objectiveLeft, std::optional<Core::Duration> wait) {
        return retryAfter({.priority = priority, .expectedWork = 90ms, .objectiveLeft = objectiveLeft, .callerLeft = 960ms}, wait);
    };
    EXPECT_LT(delay(0, 220ms, std::nullopt), delay(2, 2s, std::nullopt));
    EXPECT_LE(delay(0, 220ms, std::nullopt), 130ms) << "the retry still meets the objective";
    EXPECT_LE(delay(2, 2s, 5s) * 3 / 2, 320ms);
    EXPECT_GE(delay(0, 50ms, 10ms), 200ms) << "a retry that is late anyway comes when the load may have dropped";
}

// The health checks of all instances together are limited for each target.
TEST(Probes, searchesStayWithinThePartOfTheHealthChecks)
{
    ServiceAdmission service;
    const ProbeSharers sharers{.instances = 120, .targets = 60};
    EXPECT_TRUE(mayProbeFurther(service, sharers, START));
    Limits::addEvents(service.probes, 18, START);
    EXPECT_FALSE(mayProbeFurther(service, sharers, START)) << "0.8 of 42 times 60 / 120 per second";
    EXPECT_GT(searchInterval(sharers, 3), 250ms);
    EXPECT_EQ(searchInterval({.instances = 10, .targets = 60}, 3), SEARCH_INTERVAL);
}

} // namespace Briarbend::Admission
