#include <LibRollout/LatencyReference.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Briarbend::Rollout
{

namespace
{

constexpr std::chrono::milliseconds GENERATION{2000};
constexpr std::uint32_t FEWEST_ANSWERS = 20;
constexpr std::uint32_t ANSWERS_BETWEEN_RENEWALS = 16;
constexpr double CLASSES_PER_OCTAVE = 4;
constexpr double SLOW_FACTOR = 2.0;

} // namespace

std::size_t LatencyReference::classOf(std::chrono::microseconds latency)
{
    const auto microseconds = std::max<double>(1, static_cast<double>(latency.count()));
    const auto index = static_cast<std::size_t>(std::log2(microseconds) * CLASSES_PER_OCTAVE);
    return std::min(index, CLASSES - 1);
}

std::chrono::microseconds LatencyReference::upperBound(std::size_t index)
{
    const auto microseconds = std::exp2(static_cast<double>(index + 1) / CLASSES_PER_OCTAVE);
    return std::chrono::microseconds{static_cast<std::int64_t>(std::ceil(microseconds))};
}

void LatencyReference::add(std::chrono::microseconds latency, Core::WallTime now)
{
    if (now - this->turnedAt >= GENERATION) {
        this->previous = this->current;
        this->current = {};
        this->currentTotal = 0;
        this->turnedAt = now;
    }
    ++this->current[classOf(latency)];
    if (++this->currentTotal % ANSWERS_BETWEEN_RENEWALS == 0) {
        this->renew();
    }
}

void LatencyReference::renew()
{
    Counts counts{};
    std::ranges::transform(this->current, this->previous, counts.begin(), std::plus{});
    const auto total = std::reduce(counts.begin(), counts.end());
    if (total < FEWEST_ANSWERS) {
        return;
    }
    std::uint32_t seen = 0;
    const auto median = std::ranges::find_if(counts, [&seen, total](std::uint32_t count) {
        seen += count;
        return 2 * seen >= total;
    });
    const auto bound = upperBound(static_cast<std::size_t>(median - counts.begin()));
    this->threshold = std::chrono::microseconds{static_cast<std::int64_t>(static_cast<double>(bound.count()) * SLOW_FACTOR)};
}

std::optional<std::chrono::microseconds> LatencyReference::slowThreshold() const
{
    return this->threshold;
}

} // namespace Briarbend::Rollout
