#ifndef LABURNUMREACH_SIDECAR_PRIORITY_RANK_HPP
#define LABURNUMREACH_SIDECAR_PRIORITY_RANK_HPP

#include "laburnumreach/sidecar/routing_config.hpp"

#include <algorithm>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// Rank of a request, 0 the most urgent. The priority of the customer goes first; the routes of one customer
/// keep their order among themselves.
using priority_rank = std::int32_t;

/// Priorities above are taken for this one.
inline constexpr std::int32_t lowest_priority = 63;

/// Returns the rank of a request.
/// @param owner null for a request without a customer
inline priority_rank priority_rank_of(const route& requested, const customer* owner)
{
    const std::int32_t route_rank = std::clamp(requested.priority, 0, lowest_priority);
    const std::int32_t customer_rank =
        owner != nullptr && owner->priority ? std::clamp(*owner->priority, 0, lowest_priority) : 0;
    return customer_rank * (lowest_priority + 1) + route_rank;
}

} // namespace laburnumreach::sidecar

#endif
