#ifndef LABURNUMREACH_SIDECAR_PRIORITY_RANK_HPP
#define LABURNUMREACH_SIDECAR_PRIORITY_RANK_HPP

#include "laburnumreach/sidecar/routing_config.hpp"

#include <algorithm>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// Rank of a request by priority; 0 is the most urgent. Ordered by the priority of the customer first, then
/// by the priority of the route.
using priority_rank = std::int32_t;

/// Number of the lowest priority; larger numbers are clamped to it.
inline constexpr std::int32_t lowest_priority = 63;

/// Returns the priority rank of a request.
/// @param owner customer that sent the request; null if there is none
inline priority_rank priority_rank_of(const route& requested, const customer* owner)
{
    const std::int32_t route_rank = std::clamp(requested.priority, 0, lowest_priority);
    const std::int32_t customer_rank =
        owner != nullptr && owner->priority ? std::clamp(*owner->priority, 0, lowest_priority) : 0;
    return customer_rank * (lowest_priority + 1) + route_rank;
}

} // namespace laburnumreach::sidecar

#endif
