#ifndef LABURNUMREACH_SIDECAR_STORE_WATCH_ROLE_HPP
#define LABURNUMREACH_SIDECAR_STORE_WATCH_ROLE_HPP

#include <cstddef>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// Role of a daemon in watching the platform's store once it is initialized.
enum class store_watch_role : std::uint8_t
{
    none,    ///< Does not call the store; peers forward changes.
    standby, ///< Watches for changes; retries rarely while the store is unavailable.
    primary, ///< Watches for changes; quickly detects a dead connection and the recovery of the store.
};

/// Chooses the role of a daemon in its zone. Deterministic.
///
/// Load pattern: each call to the store is charged, long polls too, and their number must not grow with the
/// fleet. So only the first daemons of each zone in the order of their ids watch the store, and forward
/// changes to the others. Standby daemons replace those that cannot reach the store.
/// @param preceding number of reachable daemons of the zone that precede this one
/// @param preceding_with_store number of those that can reach the store
store_watch_role choose_store_watch_role(std::size_t preceding, std::size_t preceding_with_store);

} // namespace laburnumreach::sidecar

#endif
