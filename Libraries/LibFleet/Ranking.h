#pragma once

#include <LibFleet/Choice.h>

#include <span>

namespace Briarbend::Fleet
{

/// What a request needs of the target that it is sent to.
struct SlotRequest {
    /// Time until the request's deadline.
    Core::Duration remaining{0};
    /// Time until the route's objective; negative once it has passed.
    Core::Duration objectiveLeft{0};
    /// Share of each target's slots that must stay free for more urgent requests; zero if none is reserved.
    double reservedShare{0};
    /// The request is sent to one target only, so that a loaded or slow target counts as later than expected.
    bool needsShortTail{false};
    /// The request does not wait in the queue of a target, where the work ahead may take much longer than its own.
    bool needsFreeSlot{false};
    /// The request takes a target that is neither full nor slow, as long as further ones can be probed.
    bool looksFurther{false};
};

struct RankedTarget {
    const TargetState *target{nullptr};
    std::chrono::microseconds cost{0};
    std::chrono::microseconds expectedTime{0};
    bool isFull{false};
    std::uint32_t freeSlots{0};
    /// The target reports that it accepts no work.
    bool isLastResort{false};
    /// The request would take a slot that is reserved for requests within their objective or for more urgent ones.
    bool takesReservedSlot{false};
};

/// Slots of a target that are reserved where the more urgent requests have this share in the demand.
std::uint32_t reservedSlots(double share, std::uint32_t slots);

/// The target with the lowest cost among those that answered their probe and are still permitted.
std::optional<RankedTarget> rank(const ServiceState &service,
                                 std::span<const TargetState *const> answered,
                                 const RouteStatistics &route,
                                 const ChoiceInput &input,
                                 const SlotRequest &request,
                                 Core::TimePoint now);

/// True if no further targets need to be probed.
bool meetsObjective(const SlotRequest &request, const RankedTarget &ranked);

/// True if the request may be sent to the target.
bool isServable(const SlotRequest &request, const RankedTarget &ranked);

} // namespace Briarbend::Fleet
