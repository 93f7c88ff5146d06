#include "laburnumreach/sidecar/status_change_tracker.hpp"

#include <cmath>

namespace laburnumreach::sidecar
{

bool status_change_tracker::should_send(const instance_status& status, core::time_point now)
{
    if (this->last_sent && now - this->sent_at < refresh_interval && !this->differs(status))
    {
        return false;
    }
    this->record_sent(status, now);
    return true;
}

bool status_change_tracker::differs(const instance_status& status) const
{
    const instance_status& last = *this->last_sent;
    const double run_change = std::abs(static_cast<double>(status.run_ms) - last.run_ms);
    return status.instance_id != last.instance_id || status.service != last.service ||
           status.accepts_work != last.accepts_work || status.slots != last.slots ||
           std::abs(load_per_slot(status) - load_per_slot(last)) > min_load_change ||
           run_change > min_relative_run_change * last.run_ms;
}

} // namespace laburnumreach::sidecar
