#ifndef LABURNUMREACH_FLEET_NODE_CLOCK_HPP
#define LABURNUMREACH_FLEET_NODE_CLOCK_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>

namespace laburnumreach::fleet
{

/// Monotonic clock of one VM, with its own start and its own rate.
struct node_clock
{
    core::time_point started{}; ///< Virtual time of the VM's start.
    std::int64_t ppm = 0;       ///< Rate, as a difference from real time.

    /// Returns the VM's time.
    core::time_point at(core::time_point virtual_time) const
    {
        const core::duration elapsed = virtual_time - this->started;
        return core::time_point{std::chrono::hours{1}} + elapsed + elapsed / 1'000'000 * this->ppm;
    }
};

} // namespace laburnumreach::fleet

#endif
