#include <LibLoad/LatencyHistogram.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>

namespace Briarbend::Load
{

namespace
{

/// Buckets of one power of two.
constexpr std::uint64_t BUCKETS_PER_OCTAVE = 128;
constexpr unsigned EXACT_BITS = 8;
constexpr std::size_t BUCKETS = (64 - EXACT_BITS) * BUCKETS_PER_OCTAVE + 2 * BUCKETS_PER_OCTAVE;

std::size_t bucketOf(std::uint64_t nanoseconds)
{
    const auto width = static_cast<unsigned>(std::bit_width(nanoseconds));
    const auto shift = width > EXACT_BITS ? width - EXACT_BITS : 0;
    return shift * BUCKETS_PER_OCTAVE + (nanoseconds >> shift);
}

std::uint64_t upperBound(std::size_t bucket)
{
    const auto shift = bucket < 2 * BUCKETS_PER_OCTAVE ? 0 : bucket / BUCKETS_PER_OCTAVE - 1;
    const auto mantissa = bucket - shift * BUCKETS_PER_OCTAVE;
    return ((mantissa + 1) << shift) - 1;
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : buckets(BUCKETS)
{
}

void LatencyHistogram::record(Core::Duration duration)
{
    const auto positive = std::max(duration, Core::Duration::zero());
    ++this->buckets[bucketOf(static_cast<std::uint64_t>(positive / std::chrono::nanoseconds(1)))];
    ++this->total;
    this->largest = std::max(this->largest, positive);
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    std::ranges::transform(this->buckets, other.buckets, this->buckets.begin(), std::plus());
    this->total += other.total;
    this->largest = std::max(this->largest, other.largest);
}

std::uint64_t LatencyHistogram::count() const
{
    return this->total;
}

Core::Duration LatencyHistogram::quantile(double share) const
{
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(this->total))));
    std::uint64_t seen = 0;
    const auto found = std::ranges::find_if(this->buckets, [&seen, rank](std::uint64_t count) {
        seen += count;
        return seen >= rank;
    });
    if (found == this->buckets.end()) {
        return Core::Duration::zero();
    }
    const std::chrono::nanoseconds bound(upperBound(static_cast<std::size_t>(found - this->buckets.begin())));
    return std::min<Core::Duration>(bound, this->largest);
}

Core::Duration LatencyHistogram::maximum() const
{
    return this->largest;
}

} // namespace Briarbend::Load
