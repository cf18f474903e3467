#include <LibRollout/LatencyBaseline.h>

#include <algorithm>
#include <numeric>

namespace Briarbend::Rollout
{

namespace
{

constexpr std::chrono::milliseconds GENERATION_LENGTH{2000};
constexpr std::uint32_t MINIMUM_RESPONSES = 20;
constexpr std::uint32_t RESPONSES_PER_THRESHOLD_UPDATE = 16;
constexpr double SLOW_MEDIAN_FACTOR = 2.0;

} // namespace

void LatencyBaseline::add(std::chrono::microseconds latency, Core::WallTime now)
{
    if (now - this->rotatedAt >= GENERATION_LENGTH) {
        this->previous = this->current;
        this->current = {};
        this->currentTotal = 0;
        this->rotatedAt = now;
    }
    ++this->current[latencyBucketOf(latency)];
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
    const auto bound = upperBoundOf(static_cast<LatencyBucket>(median - counts.begin()));
    this->threshold = std::chrono::microseconds{static_cast<std::int64_t>(static_cast<double>(bound.count()) * SLOW_MEDIAN_FACTOR)};
}

std::optional<std::chrono::microseconds> LatencyBaseline::slowThreshold() const
{
    return this->threshold;
}

} // namespace Briarbend::Rollout
