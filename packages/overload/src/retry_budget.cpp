#include "laburnumreach/overload/retry_budget.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

retry_budget::retry_budget(const retry_budget_options& budget)
    : options(budget), saved(0.0), floor_saved(std::max(1.0, budget.floor_per_second))
{
}

void retry_budget::record_success()
{
    this->saved = std::min(this->saved + this->options.share, this->options.max_saved);
}

bool retry_budget::try_take(core::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - this->updated).count();
    this->updated = now;
    this->floor_saved = std::min(this->floor_saved + elapsed * this->options.floor_per_second,
                                 std::max(1.0, this->options.floor_per_second));
    double& source = this->saved >= 1.0 ? this->saved : this->floor_saved;
    if (source < 1.0)
    {
        return false;
    }
    source -= 1.0;
    return true;
}

} // namespace laburnumreach::overload
