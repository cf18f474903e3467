#include <LibLimits/Admission.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Briarbend::Limits
{

namespace
{

using namespace std::chrono_literals;
using Configuration::TrafficClass;

constexpr std::size_t SLOTS = 40;
/// Service time at a slot, indexed by traffic class.
constexpr std::array SERVICE_TIMES{5ms, 100ms};
constexpr std::chrono::duration<double> SECOND{1};
constexpr std::array<std::chrono::milliseconds, 2> DEADLINES{100ms, 1000ms};
/// Requests per second that all slots together finish, indexed by traffic class.
constexpr std::array CAPACITIES{SLOTS * (SECOND / SERVICE_TIMES[0]), SLOTS *(SECOND / SERVICE_TIMES[1])};

constexpr std::size_t indexOf(TrafficClass trafficClass)
{
    return static_cast<std::size_t>(trafficClass);
}

struct Counts {
    std::size_t arrived{0};
    std::size_t inTime{0};
    std::size_t late{0};
    std::size_t refused{0};
    Core::Duration longestWait{0};
};

/// Model of one instance that sends to a set of slots through one admission queue, in virtual time. Refused callers retry once, after the
/// time that they were told.
class ServiceModel
{
public:
    explicit ServiceModel(std::uint64_t seed)
        : random(seed)
    {
        this->admission.parameters.inFlight = inFlightLimit(SLOTS, 1);
        // Large enough for the queue to be limited by deadlines and not by its length.
        this->admission.parameters.waitingPerClass = 5000;
    }

    /// Runs the model under the given loads, each as a share of its class's capacity.
    void run(Core::Duration time, double interactiveLoad, double bulkLoad)
    {
        this->counts = {};
        for (const auto end = this->now + time; this->now < end; this->now += 1ms) {
            this->finish();
            this->retryRefused();
            this->arrive(TrafficClass::Interactive, interactiveLoad);
            this->arrive(TrafficClass::Bulk, bulkLoad);
            for (const auto &expired : dequeueExpired(this->admission, this->now)) {
                this->refuse(expired.trafficClass, retryAfter(this->admission, expired.trafficClass, this->now, this->random), true);
                auto &longest = this->countsOf(expired.trafficClass).longestWait;
                longest = std::max(longest, this->now - (expired.ticket.deadline - DEADLINES[indexOf(expired.trafficClass)]));
            }
            this->sendRunnable();
        }
    }

    std::array<Counts, 2> counts;

private:
    struct Running {
        TrafficClass trafficClass;
        Core::TimePoint deadline;
        Core::TimePoint sentAt;
        Core::TimePoint endsAt;
    };

    Counts &countsOf(TrafficClass trafficClass)
    {
        return this->counts[indexOf(trafficClass)];
    }

    void arrive(TrafficClass trafficClass, double load)
    {
        auto &pending = this->pendingArrivals[indexOf(trafficClass)];
        for (pending += load * CAPACITIES[indexOf(trafficClass)] / 1000; pending >= 1; pending -= 1) {
            this->request(trafficClass, false);
        }
    }

    void request(TrafficClass trafficClass, bool isRetry)
    {
        ++this->countsOf(trafficClass).arrived;
        const auto deadline = this->now + DEADLINES[indexOf(trafficClass)];
        const auto decision = admit(this->admission, trafficClass, deadline, this->now, this->random);
        if (decision.kind == AdmissionKind::Refuse) {
            this->refuse(trafficClass, decision.retryAfter, isRetry);
        } else if (decision.kind == AdmissionKind::Admit) {
            this->send(trafficClass, deadline);
        }
    }

    void refuse(TrafficClass trafficClass, std::chrono::milliseconds retryAfterTime, bool isRetry)
    {
        ++this->countsOf(trafficClass).refused;
        if (!isRetry) {
            this->retries.emplace(this->now + retryAfterTime, trafficClass);
        }
    }

    void retryRefused()
    {
        while (!this->retries.empty() && this->retries.begin()->first <= this->now) {
            const auto trafficClass = this->retries.extract(this->retries.begin()).mapped();
            this->request(trafficClass, true);
        }
    }

    void send(TrafficClass trafficClass, Core::TimePoint deadline)
    {
        // The slot that becomes free first takes the request.
        const auto slot = std::ranges::min_element(this->slotFreeAt);
        *slot = std::max(*slot, this->now) + SERVICE_TIMES[indexOf(trafficClass)];
        this->running.push_back({trafficClass, deadline, this->now, *slot});
    }

    void sendRunnable()
    {
        while (const auto next = dequeueRunnable(this->admission, this->now)) {
            this->send(next->trafficClass, next->ticket.deadline);
        }
    }

    void finish()
    {
        const auto isDone = [this](const Running &request) {
            return request.endsAt <= this->now;
        };
        for (const auto &request : this->running) {
            if (isDone(request)) {
                recordCompletion(this->admission, request.trafficClass, this->now - request.sentAt, this->now);
                auto &count = this->countsOf(request.trafficClass);
                ++(this->now <= request.deadline ? count.inTime : count.late);
            }
        }
        std::erase_if(this->running, isDone);
    }

    Core::Random random;
    AdmissionControl admission;
    Core::TimePoint now{100s};
    std::array<double, 2> pendingArrivals{};
    std::array<Core::TimePoint, SLOTS> slotFreeAt{};
    std::vector<Running> running;
    std::multimap<Core::TimePoint, TrafficClass> retries;
};

} // namespace

TEST(Admission, goodputHoldsUnderOverloadAndRecoveryHasNoRetryStorm)
{
    ServiceModel service(1);
    service.run(2s, 0.5, 0);
    service.run(10s, 1.5, 0);
    const auto &overload = service.counts[0];
    EXPECT_GE(static_cast<double>(overload.inTime), 0.9 * 10 * CAPACITIES[0]);
    EXPECT_EQ(overload.late, 0U);
    EXPECT_GT(overload.refused, 0U);
    // Requests that cannot finish in time are refused on arrival and not after a wait.
    EXPECT_EQ(overload.longestWait, 0ms);

    service.run(2s, 0.5, 0);
    service.run(2s, 0.5, 0);
    EXPECT_EQ(service.counts[0].refused, 0U);
    EXPECT_EQ(service.counts[0].late, 0U);
}

TEST(Admission, bulkOverloadDoesNotDelayInteractiveRequests)
{
    ServiceModel service(2);
    service.run(2s, 0.3, 0.1);
    service.run(10s, 0.3, 3.0);
    const auto &[interactive, bulk] = service.counts;
    EXPECT_EQ(interactive.refused + interactive.late, 0U);
    EXPECT_GE(static_cast<double>(interactive.inTime), 0.29 * 10 * CAPACITIES[0]);
    // Bulk requests use the remaining capacity.
    EXPECT_GE(static_cast<double>(bulk.inTime), 0.4 * 10 * CAPACITIES[1]);
}

RC_GTEST_PROP(Admission, everyRequestGetsOneDecisionAndBoundsHold, (std::uint64_t seed))
{
    constexpr std::uint32_t WAITING = 8;
    Core::Random random{seed};
    AdmissionControl admission;
    admission.parameters = {.inFlight = static_cast<std::uint32_t>(1 + random.below(10)), .bulkShare = 0.5, .waitingPerClass = WAITING};
    std::array<std::size_t, 2> inFlight{};
    std::vector<QueuedRequest> waiting;
    const auto removeWaiting = [&](const QueuedRequest &request) {
        const auto found = std::ranges::find(waiting, request.ticket, &QueuedRequest::ticket);
        RC_ASSERT(found != waiting.end());
        waiting.erase(found);
    };
    Core::TimePoint now{100s};
    for (int step = 0; step < 500; ++step) {
        now += std::chrono::milliseconds{random.below(10)};
        const auto trafficClass = static_cast<TrafficClass>(random.below(2));
        auto &running = inFlight[indexOf(trafficClass)];
        const auto decision = admit(admission, trafficClass, now + std::chrono::milliseconds{random.below(2000)}, now, random);
        RC_ASSERT((decision.kind == AdmissionKind::Refuse) == (decision.reason.has_value() && decision.retryAfter > 0ms));
        running += decision.kind == AdmissionKind::Admit ? 1 : 0;
        if (decision.kind == AdmissionKind::Queue) {
            waiting.push_back({*decision.ticket, trafficClass});
        }
        for (auto completions = random.below(20) == 0 ? running : 0; completions > 0; --completions) {
            recordCompletion(admission, trafficClass, 5ms, now);
            --running;
        }
        if (!waiting.empty() && random.below(10) == 0) {
            cancelWaiting(admission, waiting.front());
            waiting.erase(waiting.begin());
        }
        std::ranges::for_each(dequeueExpired(admission, now), removeWaiting);
        while (const auto next = dequeueRunnable(admission, now)) {
            RC_ASSERT(next->ticket.deadline > now);
            removeWaiting(*next);
            ++inFlight[indexOf(next->trafficClass)];
            // No waiting request of higher precedence was skipped.
            RC_ASSERT(std::ranges::none_of(waiting, [&](const QueuedRequest &other) {
                const bool isSameClass = other.trafficClass == next->trafficClass;
                const bool comesFirst = isSameClass ? other.ticket < next->ticket : other.trafficClass == TrafficClass::Interactive;
                return comesFirst && other.ticket.deadline > now;
            }));
        }
        RC_ASSERT(inFlight[0] + inFlight[1] <= admission.parameters.inFlight);
        RC_ASSERT(inFlight[1] <= std::max(1U, admission.parameters.inFlight / 2));
        RC_ASSERT(std::ranges::all_of(admission.classes, [](const ClassQueue &queue) {
            return queue.waiting.size() <= WAITING;
        }));
        RC_ASSERT(admission.classes[0].waiting.size() + admission.classes[1].waiting.size() == waiting.size());
    }
}

} // namespace Briarbend::Limits
