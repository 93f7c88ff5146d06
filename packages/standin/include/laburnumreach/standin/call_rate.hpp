#ifndef LABURNUMREACH_STANDIN_CALL_RATE_HPP
#define LABURNUMREACH_STANDIN_CALL_RATE_HPP

#include "laburnumreach/core/time.hpp"

#include <algorithm>

namespace laburnumreach::standin
{

/// Call rate limit of the platform with a burst of one second's calls.
class call_rate
{
public:
    /// @param calls_per_second greater than zero
    /// @param now start of the first second
    call_rate(double calls_per_second, core::time_point now)
        : rate(calls_per_second), tokens(calls_per_second), last(now)
    {
    }

    /// Counts one call.
    /// @returns whether the call is within the rate
    bool allow(core::time_point now)
    {
        this->refill(now);
        if (this->tokens < 1.0)
        {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    /// Counts calls that are not refused, which may delay later ones.
    void charge(double calls, core::time_point now)
    {
        this->refill(now);
        this->tokens -= calls;
    }

private:
    void refill(core::time_point now)
    {
        const std::chrono::duration<double> passed = now - this->last;
        this->tokens = std::min(this->rate, this->tokens + this->rate * std::max(0.0, passed.count()));
        this->last = std::max(this->last, now);
    }

    double rate;
    double tokens;
    core::time_point last;
};

} // namespace laburnumreach::standin

#endif
