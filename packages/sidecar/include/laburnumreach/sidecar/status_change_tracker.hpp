#ifndef LABURNUMREACH_SIDECAR_STATUS_CHANGE_TRACKER_HPP
#define LABURNUMREACH_SIDECAR_STATUS_CHANGE_TRACKER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <algorithm>
#include <optional>

namespace laburnumreach::sidecar
{

/// Returns the running and queued calls of an instance per slot.
inline double load_per_slot(const instance_status& status)
{
    return static_cast<double>(status.running + status.queued) / std::max(1U, status.slots);
}

/// Decides when the status of the instance must be sent to one peer again. Deterministic.
class status_change_tracker
{
public:
    /// @returns whether to send the status now; it is then recorded as sent
    bool should_send(const instance_status& status, core::time_point now);

    /// Records a status that was sent otherwise.
    void record_sent(const instance_status& status, core::time_point now)
    {
        this->last_sent = status;
        this->sent_at = now;
    }

private:
    /// Time after which an unchanged status is sent again.
    static constexpr core::duration refresh_interval = std::chrono::seconds{2};
    /// Smallest change of the load per slot that matters for the choice of an instance.
    static constexpr double min_load_change = 0.1;
    /// Smallest relative change of the mean run time that matters for it.
    static constexpr double min_relative_run_change = 0.15;

    bool differs(const instance_status& status) const;

    std::optional<instance_status> last_sent;
    core::time_point sent_at{};
};

} // namespace laburnumreach::sidecar

#endif
