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
    std::size_t sockets = 0;    ///< All connections, also those that the process opens.
};

/// Returns the largest number of connections of callers: all that the process does not need otherwise, and
/// half of all at least. Callers keep connections open while they do not use them, and open further ones for
/// retries, so that a burst takes thousands.
/// @param daemons number of other daemons, each with a connection in both directions
/// @param instance_connections largest number of connections to the instance
inline std::size_t max_caller_connections(const connection_limits& limits, std::size_t daemons,
                                          std::size_t instance_connections)
{
    constexpr std::size_t other_listeners = 3;
    constexpr std::size_t margin = 64; // For connections that are being replaced, and to the store.
    const std::size_t needed =
        2 * daemons + instance_connections + other_listeners * limits.each_other + margin;
    return std::max(limits.sockets - std::min(limits.sockets, needed), limits.sockets / 2);
}

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
            .each_other = std::clamp(sockets / 32, min_connections, max_each_other),
            .sockets = sockets};
}

} // namespace laburnumreach::sidecar

#endif
