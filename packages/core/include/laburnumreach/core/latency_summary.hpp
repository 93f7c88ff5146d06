#ifndef LABURNUMREACH_CORE_LATENCY_SUMMARY_HPP
#define LABURNUMREACH_CORE_LATENCY_SUMMARY_HPP

#include "laburnumreach/core/time.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <mutex>

namespace laburnumreach::core
{

/// Streaming estimate of latency quantiles that stores no samples. Thread-safe.
class latency_summary
{
public:
    /// Quantiles that are estimated.
    static constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

    /// Adds one observation.
    void add(duration latency)
    {
        // Boost.Accumulators is not thread-safe; the critical section is a few dozen instructions.
        const std::lock_guard lock{this->mutex};
        this->samples(std::chrono::duration<double>(latency).count());
    }

    /// Returns an estimate in seconds; zero without observations.
    /// @param quantile one of `quantiles`
    double quantile_seconds(double quantile) const
    {
        namespace accumulators = boost::accumulators;
        const std::lock_guard lock{this->mutex};
        if (accumulators::count(this->samples) == 0)
        {
            return 0.0;
        }
        return accumulators::quantile(this->samples, accumulators::quantile_probability = quantile);
    }

    /// Returns the number of observations.
    std::uint64_t count() const
    {
        const std::lock_guard lock{this->mutex};
        return boost::accumulators::count(this->samples);
    }

    /// Returns the sum of all observations in seconds.
    double sum_seconds() const
    {
        const std::lock_guard lock{this->mutex};
        if (boost::accumulators::count(this->samples) == 0)
        {
            return 0.0;
        }
        return boost::accumulators::mean(this->samples) *
               static_cast<double>(boost::accumulators::count(this->samples));
    }

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                           boost::accumulators::tag::extended_p_square_quantile>>;

    mutable std::mutex mutex;
    accumulator samples{boost::accumulators::extended_p_square_probabilities = quantiles};
};

} // namespace laburnumreach::core

#endif
