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
    /// Largest number of requests that this instance may have in flight at targets, over all classes: about twice its share of the
    /// targets' slots.
    std::uint32_t inFlight{64};
    /// Largest share of `inFlight` that bulk requests may take. It corresponds to half of the slots, so that interactive requests always
    /// find free slots.
    double bulkShare{0.25};
    /// Largest number of waiting requests per class.
    std::uint32_t waitingPerClass{256};
    /// Longest time that a refused caller is told to wait, before jitter.
    std::chrono::milliseconds maximumRetryAfter{30'000};
};

/// Identifies a waiting request.
struct Ticket {
    Core::TimePoint deadline;
    std::uint64_t number{0};

    auto operator<=>(const Ticket &) const = default;
};

/// The requests of one traffic class, waiting and in flight.
struct ClassQueue {
    std::uint32_t inFlight{0};
    /// Waiting requests, earliest deadline first.
    std::set<Ticket> waiting;
    /// Rate of requests that finished.
    DecayingRate completions;
    /// Exponentially weighted moving average of the time from sending a request to receiving the head of its answer.
    Core::Duration smoothedTimeToHead{0};
};

/// Admission control of one service at one instance.
struct AdmissionControl {
    AdmissionParameters parameters;
    std::array<ClassQueue, 2> classes;
    std::uint64_t nextTicketNumber{1};
};

enum class AdmissionKind {
    /// Send now; the request counts as in flight from this moment.
    Admit,
    /// Wait until dequeueRunnable or dequeueExpired returns the ticket.
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
    /// Set with Refuse: how long the caller should wait before it retries, with jitter.
    std::chrono::milliseconds retryAfter{0};
};

/// A waiting request and its class.
struct QueuedRequest {
    Ticket ticket;
    Configuration::TrafficClass trafficClass{Configuration::TrafficClass::Interactive};
};

/// Largest number of requests that one of `instances` instances may have in flight: two for each slot of its share, so that a slot never
/// waits for the next request, and at least two.
std::uint32_t inFlightLimit(std::size_t slotsOfAllTargets, std::size_t instances);

/// Decides on a request that arrives now. A request that cannot finish by its deadline at the measured drain rate is refused at once.
AdmissionDecision admit(AdmissionControl &admission,
                        Configuration::TrafficClass trafficClass,
                        Core::TimePoint deadline,
                        Core::TimePoint now,
                        Core::Random &random);

/// Returns a request to the queue that was admitted but for which no target was available. It no longer counts as in flight.
Ticket requeue(AdmissionControl &admission, Configuration::TrafficClass trafficClass, Core::TimePoint deadline);

/// Removes the next request to send from the queue, interactive requests first, then by deadline. It counts as in flight from this moment.
std::optional<QueuedRequest> dequeueRunnable(AdmissionControl &admission, Core::TimePoint now);

/// Removes the requests that can no longer finish in time from the queue. The caller must refuse each of them.
std::vector<QueuedRequest> dequeueExpired(AdmissionControl &admission, Core::TimePoint now);

/// Removes a waiting request whose caller has disconnected.
void cancelWaiting(AdmissionControl &admission, const QueuedRequest &request);

/// Records that a request no longer occupies a target, and the time until the head of its answer arrived.
void recordCompletion(AdmissionControl &admission,
                      Configuration::TrafficClass trafficClass,
                      Core::Duration timeToHead,
                      Core::TimePoint now);

/// How long a caller that is refused now should wait before it retries: the time to drain the queue at the measured rate, with jitter of
/// up to as much again.
std::chrono::milliseconds
retryAfter(const AdmissionControl &admission, Configuration::TrafficClass trafficClass, Core::TimePoint now, Core::Random &random);

} // namespace Briarbend::Limits
