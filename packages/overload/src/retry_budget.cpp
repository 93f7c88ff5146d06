#include "laburnumreach/overload/retry_budget.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

retry_budget::retry_budget(const retry_budget_options& budget)
    : options(budget), earned_retries(0.0), guaranteed_retries(std::max(1.0, budget.min_retries_per_second))
{
}

void retry_budget::record_success()
{
    this->earned_retries =
        std::min(this->earned_retries + this->options.retries_per_success, this->options.max_saved_retries);
}

bool retry_budget::try_take(core::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - this->updated).count();
    this->updated = now;
    this->guaranteed_retries =
        std::min(this->guaranteed_retries + elapsed * this->options.min_retries_per_second,
                 std::max(1.0, this->options.min_retries_per_second));
    double& source = this->earned_retries >= 1.0 ? this->earned_retries : this->guaranteed_retries;
    if (source < 1.0)
    {
        return false;
    }
    source -= 1.0;
    return true;
}

} // namespace laburnumreach::overload
