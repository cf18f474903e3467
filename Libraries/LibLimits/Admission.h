#pragma once

#include <LibConfiguration/Model.h>
#include <LibCore/Random.h>
#include <LibLimits/DecayingRate.h>
#include <LibLimits/RefusalReason.h>

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Briarbend::Limits
{

struct AdmissionParameters {
    /// Requests of this instance that may be at targets at once, all classes together: about twice its part of the targets' slots.
    std::uint32_t inFlight{64};
    /// Largest share of `inFlight` that bulk requests take: half of the slots, so that interactive ones always find some free.
    double bulkShare{0.25};
    /// Requests of one class that may wait.
    std::uint32_t waitingPerClass{256};
    /// Largest time that a refused caller is told to wait, before jitter.
    std::chrono::milliseconds maximumRetryAfter{30'000};
};

/// Names one waiting request.
struct Ticket {
    Core::TimePoint deadline;
    std::uint64_t number{0};

    auto operator<=>(const Ticket &) const = default;
};

struct ClassQueue {
    std::uint32_t inFlight{0};
    /// Waiting requests, earliest deadline first.
    std::set<Ticket> waiting;
    /// Requests that finished.
    DecayingRate completions;
    /// Exponentially weighted time from a send to the head of its answer.
    Core::Duration smoothedTimeToHead{0};
};

/// The queue of one service at one instance.
struct AdmissionControl {
    AdmissionParameters parameters;
    std::array<ClassQueue, 2> classes;
    std::uint64_t nextTicketNumber{1};
};

enum class AdmissionKind {
    /// Send now; the request counts as in flight from here.
    Admit,
    /// Wait until dequeueRunnable returns the ticket or dequeueExpired does.
    Queue,
    /// Refuse at once.
    Refuse,
};

struct AdmissionDecision {
    AdmissionKind kind{AdmissionKind::Refuse};
    /// Set with Queue.
    std::optional<Ticket> ticket{};
    /// Set with Refuse.
    std::optional<RefusalReason> reason{};
    /// Set with Refuse: when the caller may come back, jittered.
    std::chrono::milliseconds retryAfter{0};
};

/// A waiting request and its class.
struct QueuedRequest {
    Ticket ticket;
    Configuration::TrafficClass trafficClass{Configuration::TrafficClass::Interactive};
};

/// The requests in flight that one of so many instances may have: two for each of its part of the slots, so that a slot never waits
/// for the next request, and at least two.
std::uint32_t inFlightLimit(std::size_t slotsOfAllTargets, std::size_t instances);

/// Decides on a request that arrives now. One that cannot finish by its deadline at the measured drain rate is refused at once.
AdmissionDecision admit(AdmissionControl &admission,
                        Configuration::TrafficClass trafficClass,
                        Core::TimePoint deadline,
                        Core::TimePoint now,
                        Core::Random &random);

/// Puts a request that was let run, but found no target that could take it, back into the queue. It no longer counts as in flight.
Ticket requeue(AdmissionControl &admission, Configuration::TrafficClass trafficClass, Core::TimePoint deadline);

/// Takes the next request to run, interactive ones first, then by deadline. It counts as in flight from here.
std::optional<QueuedRequest> dequeueRunnable(AdmissionControl &admission, Core::TimePoint now);

/// Takes the requests that can no longer finish in time; each is to be refused now.
std::vector<QueuedRequest> dequeueExpired(AdmissionControl &admission, Core::TimePoint now);

/// Removes a waiting request whose caller went away.
void cancelWaiting(AdmissionControl &admission, const QueuedRequest &request);

/// Notes that a request no longer occupies a target, and how long the head of its answer took.
void recordCompletion(AdmissionControl &admission,
                      Configuration::TrafficClass trafficClass,
                      Core::Duration timeToHead,
                      Core::TimePoint now);

/// When a caller refused now may come back: the time to drain the queue at the measured rate, jittered to up to twice that.
std::chrono::milliseconds
retryAfter(const AdmissionControl &admission, Configuration::TrafficClass trafficClass, Core::TimePoint now, Core::Random &random);

} // namespace Briarbend::Limits
