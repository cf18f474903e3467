#include <LibCallers/BackPressure.h>

#include <algorithm>

namespace Briarbend::Callers
{

namespace
{

/// Shares of the memory for bodies. What is left beyond them takes the responses of the requests that were accepted before.
constexpr double NO_READ_AHEAD_SHARE = 0.7;
constexpr double REFUSAL_SHARE = 0.85;

} // namespace

Pressure pressureOf(std::uint64_t heldBytes, std::uint64_t limitBytes)
{
    const auto held = static_cast<double>(heldBytes);
    const auto limit = static_cast<double>(limitBytes);
    if (held >= limit * REFUSAL_SHARE) {
        return Pressure::RefuseRequests;
    }
    return held >= limit * NO_READ_AHEAD_SHARE ? Pressure::NoReadAhead : Pressure::None;
}

std::optional<std::size_t>
chooseDisconnect(std::span<const ConnectionProgress> connections, Core::TimePoint now, Core::Duration minimumStall)
{
    const auto rank = [now, minimumStall](const ConnectionProgress &connection) {
        const auto stalledFor = now - connection.lastProgress;
        const bool isEligible = connection.isWaitingForCaller && connection.heldBytes > 0 && stalledFor >= minimumStall;
        return isEligible ? stalledFor : Core::Duration::min();
    };
    const auto stalest = std::ranges::max_element(connections, {}, rank);
    if (stalest == connections.end() || rank(*stalest) == Core::Duration::min()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(stalest - connections.begin());
}

} // namespace Briarbend::Callers
