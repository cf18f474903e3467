#include <LibMetrics/LatencySummary.h>

#include <array>

namespace Briarbend::Metrics
{

namespace
{

namespace Accumulators = boost::accumulators;

constexpr std::array<double, 5> PROBABILITIES{0.5, 0.9, 0.99, 0.999, 0.9999};

std::chrono::microseconds toMicroseconds(double value)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(value));
}

} // namespace

LatencySummary::LatencySummary()
    : microseconds(Accumulators::extended_p_square_probabilities = PROBABILITIES)
{
}

void LatencySummary::add(Core::Duration duration)
{
    this->microseconds(std::chrono::duration<double, std::micro>(duration).count());
}

std::uint64_t LatencySummary::count() const
{
    return Accumulators::count(this->microseconds);
}

std::chrono::microseconds LatencySummary::mean() const
{
    return this->count() == 0 ? std::chrono::microseconds{0} : toMicroseconds(Accumulators::mean(this->microseconds));
}

std::chrono::microseconds LatencySummary::maximum() const
{
    return this->count() == 0 ? std::chrono::microseconds{0} : toMicroseconds(Accumulators::max(this->microseconds));
}

std::chrono::microseconds LatencySummary::quantile(double probability) const
{
    if (this->count() == 0) {
        return std::chrono::microseconds{0};
    }
    return toMicroseconds(Accumulators::quantile(this->microseconds, Accumulators::quantile_probability = probability));
}

} // namespace Briarbend::Metrics
