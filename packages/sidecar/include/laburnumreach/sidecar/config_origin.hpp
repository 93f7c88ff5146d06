#ifndef LABURNUMREACH_SIDECAR_CONFIG_ORIGIN_HPP
#define LABURNUMREACH_SIDECAR_CONFIG_ORIGIN_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumreach::sidecar
{

/// How a daemon learned a configuration.
enum class config_source : std::uint8_t
{
    store_read,  ///< It read the store.
    store_watch, ///< The store reported a change.
    peer,        ///< Another daemon sent it.
};

constexpr std::string_view to_string(config_source source)
{
    switch (source)
    {
    case config_source::store_read:
        return "store_read";
    case config_source::store_watch:
        return "store_watch";
    case config_source::peer:
        break;
    }
    return "peer";
}

/// From where a daemon learned a configuration, for the log.
struct config_origin
{
    config_source source = config_source::store_read;
    std::string peer; ///< Id of the daemon that sent it; empty if it came from the store.
    /// Longest time for which the version may have existed without this daemon: from the store, the time
    /// since its last answer before; from a peer, the time since any peer first reported a newer version.
    core::duration max_age{};
};

} // namespace laburnumreach::sidecar

#endif
