#ifndef LABURNUMREACH_PLATFORM_ZONE_LEASE_STEP_HPP
#define LABURNUMREACH_PLATFORM_ZONE_LEASE_STEP_HPP

#include "laburnumreach/platform/object_store.hpp"
#include "laburnumreach/platform/zone_lease.hpp"

namespace laburnumreach::platform
{

/// Makes the platform call that a lease wants now, if any, and hands it the result.
/// @returns whether a call was made
template <object_store Store, core::clock_source Clock>
bool step_zone_lease(zone_lease& lease, Store& store, Clock& clock, core::random_source& random)
{
    const auto call = lease.poll(clock.now(), random);
    if (!call)
    {
        return false;
    }
    if (call->type == zone_call::kind::read)
    {
        const auto result = store.get(call->name);
        lease.on_read(clock.now(), result, random);
        return true;
    }
    const auto result = store.put_if(call->name, call->condition, call->value);
    lease.on_write(clock.now(), result, random);
    return true;
}

} // namespace laburnumreach::platform

#endif
