#pragma once

#include <LibCore/Time.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

/// Metrics of one process, in constant memory.
namespace Briarbend::Metrics
{

/// Estimates quantiles of a stream of durations without keeping them. Source: Jain and Chlamtac, "The P-square algorithm for dynamic
/// calculation of quantiles and histograms without storing observations".
class LatencySummary
{
public:
    LatencySummary();

    void add(Core::Duration duration);

    std::uint64_t count() const;
    std::chrono::microseconds mean() const;
    std::chrono::microseconds maximum() const;
    /// The estimate for a probability in [0.5, 0.999]; zero before the first observation.
    std::chrono::microseconds quantile(double probability) const;

private:
    using Accumulator
        = boost::accumulators::accumulator_set<double,
                                               boost::accumulators::stats<boost::accumulators::tag::count,
                                                                          boost::accumulators::tag::mean,
                                                                          boost::accumulators::tag::max,
                                                                          boost::accumulators::tag::extended_p_square_quantile>>;

    Accumulator microseconds;
};

} // namespace Briarbend::Metrics
