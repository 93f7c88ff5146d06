#ifndef LABURNUMREACH_SIDECAR_STOP_DEADLINE_HPP
#define LABURNUMREACH_SIDECAR_STOP_DEADLINE_HPP

#include "laburnumreach/core/time.hpp"

#include <algorithm>
#include <optional>

namespace laburnumreach::sidecar
{

/// The time at which this process ends, which is known once it stops. Deterministic.
class stop_deadline
{
public:
    void set(core::time_point chosen) { this->end = chosen; }

    bool is_set() const noexcept { return this->end.has_value(); }

    /// Returns whether a deadline ends a call before this process ends.
    bool is_after(core::time_point deadline) const { return !this->end || deadline <= *this->end; }

    /// Returns whether the end is likely to cut a call off. One that ends at its own deadline before is not.
    /// @param expected the time that the call is expected to take
    bool cuts_off(core::time_point now, core::duration expected, core::time_point deadline) const
    {
        return !this->is_after(deadline) && now + expected > this->limit(deadline);
    }

    /// Returns the deadline to state when a call is passed on: the latest one at which a response can still
    /// be passed back. An estimate of its time may be wrong, so this bounds the call as well.
    core::time_point limit(core::time_point deadline) const
    {
        return this->end ? std::min(deadline, *this->end - response_margin) : deadline;
    }

private:
    /// Time for the last responses to pass from an instance to its callers.
    static constexpr core::duration response_margin = std::chrono::milliseconds{100};

    std::optional<core::time_point> end;
};

} // namespace laburnumreach::sidecar

#endif
