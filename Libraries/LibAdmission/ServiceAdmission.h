#pragma once

#include <LibAdmission/Contention.h>
#include <LibAdmission/WaitingQueue.h>

namespace Briarbend::Admission
{

/// Everything by which one instance shares the slots of one service.
struct ServiceAdmission {
    Contention contention;
    Demand demand;
    WaitingQueue queue;
    /// Health checks that this instance sent to the service's targets.
    Limits::DecayingRate probes{.timeConstant = std::chrono::milliseconds{1000}, .weight = 0, .updatedAt = {}};
};

/// How a request searches for a slot.
struct SearchPlan {
    /// The service is contended: the request waits here, not in the queue of a target.
    bool needsFreeSlot{false};
    /// Share of each target's slots that stays free for the more urgent; zero if none is reserved.
    double reservedShare{0};
    /// The request is the most urgent on a contended service: it searches on until it finds a target that is neither full nor slow.
    bool looksFurther{false};
};

SearchPlan planSearch(const ServiceAdmission &service, std::uint32_t priority, Core::TimePoint now);

/// Numbers by which the instances share the health checks of targets.
struct ProbeSharers {
    std::size_t instances{1};
    std::size_t targets{0};
    /// Health checks per second that one target answers to all instances together.
    double checksPerTarget{42};
};

/// True if further batches of a search stay within this instance's part of the health checks that targets answer.
bool mayProbeFurther(const ServiceAdmission &service, const ProbeSharers &sharers, Core::TimePoint now);

/// Interval between the searches of a queue's head, so that the heads of all instances together stay within half of that limit.
std::chrono::milliseconds searchInterval(const ProbeSharers &sharers, std::size_t probesPerSearch);

/// The time left to a request that is refused.
struct RefusedRequest {
    std::uint32_t priority{0};
    Core::Duration expectedWork{0};
    Core::Duration objectiveLeft{0};
    /// Time for which the caller still waits; zero if it is not known.
    Core::Duration callerLeft{0};
};

/// When the caller should retry, before jitter: when a slot is expected, the more urgent earlier.
std::chrono::milliseconds retryAfter(const RefusedRequest &request, std::optional<Core::Duration> expectedWait);

} // namespace Briarbend::Admission
