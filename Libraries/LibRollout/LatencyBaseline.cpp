#include <LibRollout/LatencyBaseline.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Briarbend::Rollout
{

namespace
{

constexpr std::chrono::milliseconds GENERATION_LENGTH{2000};
constexpr std::uint32_t MINIMUM_RESPONSES = 20;
constexpr std::uint32_t RESPONSES_PER_THRESHOLD_UPDATE = 16;
constexpr double BUCKETS_PER_OCTAVE = 4;
constexpr double SLOW_MEDIAN_FACTOR = 2.0;

} // namespace

std::size_t LatencyBaseline::bucketOf(std::chrono::microseconds latency)
{
    const auto microseconds = std::max<double>(1, static_cast<double>(latency.count()));
    const auto index = static_cast<std::size_t>(std::log2(microseconds) * BUCKETS_PER_OCTAVE);
    return std::min(index, BUCKETS - 1);
}

std::chrono::microseconds LatencyBaseline::upperBound(std::size_t index)
{
    const auto microseconds = std::exp2(static_cast<double>(index + 1) / BUCKETS_PER_OCTAVE);
    return std::chrono::microseconds{static_cast<std::int64_t>(std::ceil(microseconds))};
}

void LatencyBaseline::add(std::chrono::microseconds latency, Core::WallTime now)
{
    if (now - this->rotatedAt >= GENERATION_LENGTH) {
        this->previous = this->current;
        this->current = {};
        this->currentTotal = 0;
        this->rotatedAt = now;
    }
    ++this->current[bucketOf(latency)];
    if (++this->currentTotal % RESPONSES_PER_THRESHOLD_UPDATE == 0) {
        this->updateThreshold();
    }
}

void LatencyBaseline::updateThreshold()
{
    Counts counts{};
    std::ranges::transform(this->current, this->previous, counts.begin(), std::plus{});
    const auto total = std::reduce(counts.begin(), counts.end());
    if (total < MINIMUM_RESPONSES) {
        return;
    }
    std::uint32_t seen = 0;
    const auto median = std::ranges::find_if(counts, [&seen, total](std::uint32_t count) {
        seen += count;
        return 2 * seen >= total;
    });
    const auto bound = upperBound(static_cast<std::size_t>(median - counts.begin()));
    this->threshold = std::chrono::microseconds{static_cast<std::int64_t>(static_cast<double>(bound.count()) * SLOW_MEDIAN_FACTOR)};
}

std::optional<std::chrono::microseconds> LatencyBaseline::slowThreshold() const
{
    return this->threshold;
}

} // namespace Briarbend::Rollout
