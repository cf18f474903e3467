#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Briarbend::Gossip
{

/// Together with CONTROL_BURST_BYTES, limits control traffic to 3,000 bytes per second in any window of three seconds or more.
constexpr std::size_t CONTROL_BYTES_PER_SECOND = 2400;
constexpr std::size_t CONTROL_BURST_BYTES = 1800;
/// Parts of the burst that are reserved for replies, for urgent updates and for probes. Replies have the highest priority, because a peer
/// takes a withheld reply for a failure of this instance, which a withheld probe does not cause.
constexpr std::size_t ANSWER_RESERVE_BYTES = 300;
constexpr std::size_t URGENT_RESERVE_BYTES = 300;
constexpr std::size_t PROBE_RESERVE_BYTES = 300;
constexpr std::size_t BULK_BYTES_PER_SECOND = 2'000'000;
constexpr std::size_t BULK_BURST_BYTES = 8'000'000;
/// Charged for each message in addition to its payload: WebSocket frame (RFC 6455), TCP and IP headers.
constexpr std::size_t MESSAGE_OVERHEAD_BYTES = 60;

/// Token bucket that limits and counts the bytes sent.
class ByteBudget
{
public:
    /// `rate` is in bytes per second, `burst` in bytes.
    ByteBudget(std::size_t rate, std::size_t burst);

    /// Consumes the bytes if at least `reserve` bytes remain afterwards. Otherwise consumes nothing, counts a refusal and returns false.
    bool tryConsume(std::size_t bytes, std::size_t reserve, Core::TimePoint now);
    /// Maximum number of bytes that tryConsume would grant.
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
