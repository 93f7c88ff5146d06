#include "laburnumreach/sidecar/store_watch_role.hpp"

namespace laburnumreach::sidecar
{

store_watch_role choose_store_watch_role(std::size_t preceding, std::size_t preceding_with_store)
{
    constexpr std::size_t wanted_daemons = 2; // One daemon alone may lose its connection to the store.
    if (preceding < wanted_daemons)
    {
        return store_watch_role::primary;
    }
    return preceding_with_store < wanted_daemons ? store_watch_role::standby : store_watch_role::none;
}

} // namespace laburnumreach::sidecar
