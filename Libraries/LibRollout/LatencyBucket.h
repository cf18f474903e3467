#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Briarbend::Rollout
{

/// Latencies are counted in buckets of a quarter of an octave, so that the counts of all instances add up.
using LatencyBucket = std::uint8_t;

constexpr std::size_t LATENCY_BUCKETS = 100;

/// The last bucket takes all longer latencies, too.
LatencyBucket latencyBucketOf(std::chrono::microseconds latency);

/// Latency below which all latencies of the bucket are.
std::chrono::microseconds upperBoundOf(LatencyBucket bucket);

} // namespace Briarbend::Rollout
