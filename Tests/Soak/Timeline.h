#pragma once

#include <LibCore/Random.h>

#include <chrono>
#include <string_view>
#include <vector>

/// Which faults a run of the soak injects, and when: drawn from its seed alone.
namespace Briarbend::Soak
{

enum class FaultKind {
    InstanceFrozen,
    InstanceKilled,
    InstanceStopped,
    InstanceReloaded,
    StoreRefuses,
    StoreCloses,
    StoreSilent,
    StoreSlow,
    LinkDelayed,
    LinkReset,
    LinkSilent,
    LinkOneWay,
    TargetCrashed,
    TargetSlow,
    TargetGarbles,
    TargetLeaves,
    RouteAdded,
    DataCentreOut,
    TargetSaysItLeaves,
    TargetStatesRate,
    StoreRestored,
    AllInstancesKilled,
};

constexpr std::size_t FAULT_KINDS = static_cast<std::size_t>(FaultKind::AllInstancesKilled) + 1;

struct Fault {
    FaultKind kind{FaultKind::InstanceFrozen};
    /// From the start of the traffic.
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds duration{0};
    /// Which instance, link or target; taken modulo their number.
    std::size_t subject{0};
};

std::string_view nameOf(FaultKind kind);

/// Faults in the order of their beginning. They come singly, in series of the same kind and overlapping.
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace Briarbend::Soak
