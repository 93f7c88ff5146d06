#include "laburnumreach/sidecar/store_duty.hpp"

namespace laburnumreach::sidecar
{

store_duty choose_store_duty(std::size_t preceding, std::size_t preceding_at_store)
{
    constexpr std::size_t wanted_daemons = 2; // One may be cut off from the store alone.
    if (preceding < wanted_daemons)
    {
        return store_duty::leading;
    }
    return preceding_at_store < wanted_daemons ? store_duty::stand_in : store_duty::none;
}

} // namespace laburnumreach::sidecar
