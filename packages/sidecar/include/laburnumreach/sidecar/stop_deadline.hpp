#ifndef LABURNUMREACH_SIDECAR_STOP_DEADLINE_HPP
#define LABURNUMREACH_SIDECAR_STOP_DEADLINE_HPP

#include "laburnumreach/core/time.hpp"

#include <optional>

namespace laburnumreach::sidecar
{

/// The time at which this process ends, which is known once it stops. Deterministic.
class stop_deadline
{
public:
    void set(core::time_point chosen) { this->end = chosen; }

    bool is_set() const noexcept { return this->end.has_value(); }

    /// Returns whether the end is likely to cut a call off. One that ends at its own deadline before is not.
    /// @param expected the time that the call is expected to take
    bool cuts_off(core::time_point now, core::duration expected, core::time_point deadline) const
    {
        return this->end && now + expected > *this->end && deadline > *this->end;
    }

private:
    std::optional<core::time_point> end;
};

} // namespace laburnumreach::sidecar

#endif
