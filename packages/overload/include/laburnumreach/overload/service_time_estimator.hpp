#ifndef LABURNUMREACH_OVERLOAD_SERVICE_TIME_ESTIMATOR_HPP
#define LABURNUMREACH_OVERLOAD_SERVICE_TIME_ESTIMATOR_HPP

#include "laburnumreach/core/time.hpp"

namespace laburnumreach::overload
{

/// Estimates the service time, so that calls that could not be answered before their deadline are refused.
///
/// Without observations the estimate decays, since otherwise an estimate so high that every call is refused
/// would never be corrected. Not thread safe.
class service_time_estimator
{
public:
    /// Time without observations in which the estimate falls by half.
    static constexpr core::duration half_life = std::chrono::milliseconds{500};

    /// Adds the service time of a completed call.
    void add(core::time_point now, core::duration observed);

    /// Returns the expected service time; zero while unknown.
    core::duration expected(core::time_point now) const;

private:
    double mean = 0.0; ///< Nanoseconds.
    core::time_point updated{};
};

} // namespace laburnumreach::overload

#endif
