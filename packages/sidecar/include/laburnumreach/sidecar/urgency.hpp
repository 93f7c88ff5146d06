#ifndef LABURNUMREACH_SIDECAR_URGENCY_HPP
#define LABURNUMREACH_SIDECAR_URGENCY_HPP

#include "laburnumreach/sidecar/fleet_routes.hpp"

#include <algorithm>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// Rank of a request, 0 the most urgent. The priority of the customer goes first; the routes of one customer
/// keep their order among themselves.
using urgency = std::int32_t;

/// Priorities above are taken for this one.
inline constexpr std::int32_t least_priority = 63;

/// Returns the rank of a request.
/// @param owner null for a request without a customer
inline urgency urgency_of(const route& requested, const customer* owner)
{
    const std::int32_t route_rank = std::clamp(requested.priority, 0, least_priority);
    const std::int32_t customer_rank =
        owner != nullptr && owner->priority ? std::clamp(*owner->priority, 0, least_priority) : 0;
    return customer_rank * (least_priority + 1) + route_rank;
}

} // namespace laburnumreach::sidecar

#endif
