#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace Briarbend::Load
{

/// Counts durations in buckets whose width is at most 1/128 of their value, so that every percentile has a relative error below 0.8% at
/// a fixed size of 58 KB. Histograms of several threads are merged without loss, which the P-square estimates of Boost.Accumulators
/// do not allow.
class LatencyHistogram
{
public:
    LatencyHistogram();

    /// Negative durations count as zero.
    void record(Core::Duration duration);
    void merge(const LatencyHistogram &other);
    std::uint64_t count() const;
    /// The smallest recorded value, rounded up by its bucket, which at least the share (in [0, 1]) of all values does not exceed; zero
    /// without values.
    Core::Duration quantile(double share) const;
    Core::Duration maximum() const;

private:
    std::vector<std::uint64_t> buckets;
    std::uint64_t total{0};
    Core::Duration largest{0};
};

} // namespace Briarbend::Load
