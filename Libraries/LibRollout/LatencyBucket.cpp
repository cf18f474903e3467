#include <LibRollout/LatencyBucket.h>

#include <algorithm>
#include <cmath>

namespace Briarbend::Rollout
{

namespace
{

constexpr double BUCKETS_PER_OCTAVE = 4;

} // namespace

LatencyBucket latencyBucketOf(std::chrono::microseconds latency)
{
    const auto microseconds = std::max<double>(1, static_cast<double>(latency.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(microseconds) * BUCKETS_PER_OCTAVE);
    return static_cast<LatencyBucket>(std::min(bucket, LATENCY_BUCKETS - 1));
}

std::chrono::microseconds upperBoundOf(LatencyBucket bucket)
{
    const auto microseconds = std::exp2(static_cast<double>(bucket + 1) / BUCKETS_PER_OCTAVE);
    return std::chrono::microseconds{static_cast<std::int64_t>(std::ceil(microseconds))};
}

} // namespace Briarbend::Rollout
