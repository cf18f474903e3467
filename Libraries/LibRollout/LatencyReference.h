#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Briarbend::Rollout
{

/// Recent latencies of the old version on one route at one instance, in logarithmic classes of a quarter of an octave. Two
/// generations, so that the past fades without bookkeeping for each request.
class LatencyReference
{
public:
    /// Notes an answer of the old version.
    void add(std::chrono::microseconds latency, Core::WallTime now);

    /// Latency above which a request counts as slow: twice the median of the old version's. Nothing while too few
    /// responses were seen.
    std::optional<std::chrono::microseconds> slowThreshold() const;

private:
    static constexpr std::size_t CLASSES = 100;
    using Counts = std::array<std::uint32_t, CLASSES>;

    static std::size_t classOf(std::chrono::microseconds latency);
    static std::chrono::microseconds upperBound(std::size_t index);
    void renew();

    Counts current{};
    Counts previous{};
    Core::WallTime turnedAt;
    std::uint32_t currentTotal{0};
    std::optional<std::chrono::microseconds> threshold;
};

} // namespace Briarbend::Rollout
