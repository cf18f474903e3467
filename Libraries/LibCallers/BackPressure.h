#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Briarbend::Callers
{

/// What an instance does without while the memory for bodies is short, in the order of the enumerators.
enum class Pressure {
    None,
    /// A connection with an unanswered request is read no further.
    NoReadAhead,
    /// New requests are refused as well, and stalled connections are closed.
    RefuseRequests,
};

Pressure pressureOf(std::uint64_t heldBytes, std::uint64_t limitBytes);

/// How a connection moves on with what it holds.
struct ConnectionProgress {
    /// Memory that closing the connection frees at once.
    std::uint64_t heldBytes{0};
    /// Last time that its caller took bytes of a response or sent bytes of a request.
    Core::TimePoint lastProgress;
    /// The caller has to take or to send bytes before the connection can give back memory.
    bool isWaitingForCaller{false};
};

/// The connection to close when memory runs out: of those that wait for their callers, the one without progress for longest, and at least
/// for the given time. Nothing if there is none.
std::optional<std::size_t>
chooseDisconnect(std::span<const ConnectionProgress> connections, Core::TimePoint now, Core::Duration minimumStall);

} // namespace Briarbend::Callers
