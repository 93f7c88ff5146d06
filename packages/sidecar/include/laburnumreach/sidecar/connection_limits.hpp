#ifndef LABURNUMREACH_SIDECAR_CONNECTION_LIMITS_HPP
#define LABURNUMREACH_SIDECAR_CONNECTION_LIMITS_HPP

#include <algorithm>
#include <cstddef>

namespace laburnumreach::sidecar
{

/// Largest number of accepted connections at each kind of address. What is left of the descriptors is for the
/// connections that the process itself opens: to the instance, to other daemons and to the store.
struct connection_limits
{
    std::size_t callers = 0;
    std::size_t peers = 0;
    std::size_t each_other = 0; ///< Readiness checks, announcements, metrics.
};

/// Divides the descriptors of a process. Deterministic.
/// @param descriptors largest number that the process may have open
inline connection_limits divide_descriptors(std::size_t descriptors)
{
    constexpr std::size_t file_descriptors = 200; // Not for sockets, as on the users' platform.
    constexpr std::size_t max_each_other = 64;
    constexpr std::size_t min_connections = 8;
    const std::size_t sockets =
        std::max(descriptors - std::min(descriptors, file_descriptors), descriptors / 2);
    return {.callers = std::max(sockets * 5 / 8, min_connections),
            .peers = std::max(sockets * 3 / 16, min_connections),
            .each_other = std::clamp(sockets / 32, min_connections, max_each_other)};
}

} // namespace laburnumreach::sidecar

#endif
