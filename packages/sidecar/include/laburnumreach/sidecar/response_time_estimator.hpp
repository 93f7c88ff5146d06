#ifndef LABURNUMREACH_SIDECAR_RESPONSE_TIME_ESTIMATOR_HPP
#define LABURNUMREACH_SIDECAR_RESPONSE_TIME_ESTIMATOR_HPP

#include "laburnumreach/core/time.hpp"

#include <optional>

namespace laburnumreach::sidecar
{

/// Estimates how long the requests of a route take, waits and nested calls included. Deterministic.
///
/// Unlike the mean run time that an instance reports, the estimate does not fall while no request arrives.
class response_time_estimator
{
public:
    /// Records the time from the receipt of a request to its response.
    void record(core::duration elapsed);

    /// @returns a time that few requests exceed; no value before the first response
    std::optional<core::duration> upper_bound() const;

private:
    std::optional<double> mean_s; ///< Exponentially smoothed, in seconds.
    double deviation_s = 0;       ///< Mean absolute deviation, exponentially smoothed, in seconds.
};

} // namespace laburnumreach::sidecar

#endif
