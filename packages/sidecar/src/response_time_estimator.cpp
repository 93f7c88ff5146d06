#include "laburnumreach/sidecar/response_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumreach::sidecar
{

// The smoothing is that of TCP's round-trip time, RFC 6298.

void response_time_estimator::record(core::duration elapsed)
{
    constexpr double mean_weight = 1.0 / 8;
    constexpr double deviation_weight = 1.0 / 4;
    const double elapsed_s = core::to_seconds(elapsed);
    if (!this->mean_s)
    {
        this->mean_s = elapsed_s;
        this->deviation_s = elapsed_s / 2;
        return;
    }
    this->deviation_s += deviation_weight * (std::abs(elapsed_s - *this->mean_s) - this->deviation_s);
    *this->mean_s += mean_weight * (elapsed_s - *this->mean_s);
}

std::optional<core::duration> response_time_estimator::upper_bound() const
{
    constexpr double deviations = 4.0;
    constexpr double min_factor = 1.5; // Of the mean, for a route whose times have hardly varied so far.
    if (!this->mean_s)
    {
        return std::nullopt;
    }
    const double bound_s =
        std::max(*this->mean_s + deviations * this->deviation_s, min_factor * *this->mean_s);
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{bound_s});
}

} // namespace laburnumreach::sidecar
