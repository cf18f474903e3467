#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Briarbend::Gossip
{

/// In any window of three seconds or more at most 3,000 bytes a second.
constexpr std::size_t CONTROL_BYTES_PER_SECOND = 2400;
constexpr std::size_t CONTROL_BURST_BYTES = 1800;
/// Parts of the burst that are kept for answers, for urgent news, and for probes. An answer withheld looks like a failure; a probe withheld
/// does not.
constexpr std::size_t ANSWER_RESERVE_BYTES = 300;
constexpr std::size_t URGENT_RESERVE_BYTES = 300;
constexpr std::size_t PROBE_RESERVE_BYTES = 300;
constexpr std::size_t BULK_BYTES_PER_SECOND = 2'000'000;
constexpr std::size_t BULK_BURST_BYTES = 8'000'000;
/// Charged for every message besides its payload: WebSocket frame (RFC 6455), TCP and IP headers.
constexpr std::size_t MESSAGE_OVERHEAD_BYTES = 60;

/// A token bucket over sent bytes that also counts them.
class ByteBudget
{
public:
    /// The rate is in bytes a second, the burst in bytes.
    ByteBudget(std::size_t rate, std::size_t burst);

    /// Takes the bytes where that leaves at least `reserve`; otherwise takes nothing, counts a refusal and returns false.
    bool tryConsume(std::size_t bytes, std::size_t reserve, Core::TimePoint now);
    /// Bytes that tryConsume would grant.
    std::size_t available(std::size_t reserve, Core::TimePoint now) const;

    std::uint64_t consumedBytes() const;
    std::uint64_t refusals() const;

private:
    double tokens(Core::TimePoint now) const;

    double bytesPerSecond;
    double burstBytes;
    double lastTokens;
    Core::TimePoint lastUpdate;
    std::uint64_t consumed{0};
    std::uint64_t refused{0};
};

} // namespace Briarbend::Gossip
