#ifndef LABURNUMREACH_SIDECAR_STORE_WATCH_ROLE_HPP
#define LABURNUMREACH_SIDECAR_STORE_WATCH_ROLE_HPP

#include <cstddef>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// How a daemon follows the platform's store after it has started.
enum class store_watch_role : std::uint8_t
{
    none,    ///< Calls nobody; peers bring what changes.
    standby, ///< Waits for changes, and calls seldom while the store is away.
    primary, ///< Waits for changes, and notices soon that a connection went silent or the store is back.
};

/// Returns the duty of a daemon in its zone. Deterministic.
///
/// Load pattern: each call to the store is paid for, a waiting one too, and their number must not grow with
/// the fleet. So the first daemons of each zone by name follow the store and tell the others. Further ones
/// stand in for those that the store turns away.
/// @param preceding reachable daemons of the zone that precede this one by name
/// @param preceding_at_store those of them that reach the store
store_watch_role choose_store_watch_role(std::size_t preceding, std::size_t preceding_at_store);

} // namespace laburnumreach::sidecar

#endif
