#pragma once

#include <LibCore/Time.h>
#include <LibRollout/LatencyBucket.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Briarbend::Rollout
{

/// Recent latencies of the old version on one route at one instance, in logarithmic histogram buckets. Two
/// generations age out old latencies without bookkeeping for each request.
class LatencyBaseline
{
public:
    /// Records a response of the old version.
    void add(std::chrono::microseconds latency, Core::WallTime now);

    /// Latency above which a request counts as slow: twice the median of the old version. Empty until enough responses were seen.
    std::optional<std::chrono::microseconds> slowThreshold() const;

private:
    using Counts = std::array<std::uint32_t, LATENCY_BUCKETS>;

    void updateThreshold();

    Counts current{};
    Counts previous{};
    Core::WallTime rotatedAt;
    std::uint32_t currentTotal{0};
    std::optional<std::chrono::microseconds> threshold;
};

} // namespace Briarbend::Rollout
