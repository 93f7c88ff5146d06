#ifndef LABURNUMREACH_SIDECAR_STATUS_CHANGE_TRACKER_HPP
#define LABURNUMREACH_SIDECAR_STATUS_CHANGE_TRACKER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <algorithm>
#include <optional>

namespace laburnumreach::sidecar
{

/// Calls that run or wait at an instance for each of its slots.
inline double load_per_slot(const instance_status& status)
{
    return static_cast<double>(status.running + status.queued) / std::max(1U, status.slots);
}

/// Decides when one peer must be told the state of the instance again. Deterministic.
class status_change_tracker
{
public:
    /// @returns whether to send the status now; it then counts as told
    bool should_send(const instance_status& status, core::time_point now);

private:
    /// Time after which the status is told again though it did not move.
    static constexpr core::duration refresh_interval = std::chrono::seconds{2};
    /// Change of the load per slot that matters for the choice of an instance.
    static constexpr double min_load_change = 0.1;
    /// Relative change of the run time that matters for it.
    static constexpr double min_relative_run_change = 0.15;

    bool differs(const instance_status& status) const;

    std::optional<instance_status> last_sent;
    core::time_point sent_at{};
};

} // namespace laburnumreach::sidecar

#endif
