#ifndef LABURNUMREACH_OVERLOAD_RETRY_BUDGET_HPP
#define LABURNUMREACH_OVERLOAD_RETRY_BUDGET_HPP

#include "laburnumreach/core/time.hpp"

namespace laburnumreach::overload
{

/// Settings of a retry_budget.
struct retry_budget_options
{
    /// Retries allowed for each success.
    double retries_per_success = 0.1;
    /// Retries per second allowed without successes, for destinations with little traffic.
    double min_retries_per_second = 1.0;
    /// Retries that may accumulate from successes; bounds the burst when a destination starts to fail.
    double max_saved_retries = 20.0;
};

/// Limits the retries to one destination service to a share of its successes. Not thread safe.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_options& budget = {});

    /// Records a complete response of the destination.
    void record_success();

    /// Takes one retry.
    /// @returns false when the budget is used up
    bool try_take(core::time_point now);

private:
    retry_budget_options options;
    double earned_retries; ///< From successes.
    double
        guaranteed_retries; ///< Accrue at min_retries_per_second, up to those of one second and at least one.
    core::time_point updated{};
};

} // namespace laburnumreach::overload

#endif
