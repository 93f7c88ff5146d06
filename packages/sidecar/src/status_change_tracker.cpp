#include "laburnumreach/sidecar/status_change_tracker.hpp"

#include <cmath>

namespace laburnumreach::sidecar
{

bool status_change_tracker::should_send(const instance_status& status, core::time_point now)
{
    if (this->told && now - this->told_at < refresh_interval && !this->moved(status))
    {
        return false;
    }
    this->told = status;
    this->told_at = now;
    return true;
}

bool status_change_tracker::moved(const instance_status& status) const
{
    const instance_status& last = *this->told;
    const double run_change = std::abs(static_cast<double>(status.run_ms) - last.run_ms);
    return status.instance_id != last.instance_id || status.service != last.service ||
           status.accepts_work != last.accepts_work || status.slots != last.slots ||
           std::abs(load_per_slot(status) - load_per_slot(last)) > least_load_change ||
           run_change > least_run_change * last.run_ms;
}

} // namespace laburnumreach::sidecar
