#ifndef LABURNUMREACH_CONFIG_FLEET_CHANGE_HPP
#define LABURNUMREACH_CONFIG_FLEET_CHANGE_HPP

#include "laburnumreach/config/fleet_config.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::config
{

/// Kind of a difference between two fleet configurations.
enum class change_kind : std::uint8_t
{
    zone_added,
    zone_removed,
    instance_drained,
    instance_undrained,
    service_added,
    service_removed,
    service_changed,
    route_added,
    route_removed,
    route_changed,
    tenant_added,
    tenant_removed,
    tenant_changed,
    key_granted,
    key_withdrawn,
};

/// Returns the name of a kind, for example "key_withdrawn".
std::string_view to_string(change_kind kind) noexcept;

/// One difference between two fleet configurations.
struct fleet_change
{
    change_kind kind = change_kind::zone_added;
    std::string subject; ///< Name of the entry; "<service>/<route>" for a route, "<tenant>/<id>" for a key.
    std::string field;   ///< TOML key of the changed value; only set for the *_changed kinds.
    std::string before;
    std::string after;
    std::optional<key_digest> digest; ///< Only set for key_granted and key_withdrawn.

    friend bool operator==(const fleet_change&, const fleet_change&) = default;
};

/// Returns the differences in the order of the members of fleet_config. A key whose digest changes is
/// reported as withdrawn and granted; the keys of a removed tenant are reported as withdrawn, those of an
/// added tenant as granted. The order of entries does not matter.
std::vector<fleet_change> diff_fleet_config(const fleet_config& before, const fleet_config& after);

/// Returns one line such as "tenant_changed serra: rate 100 -> 50".
std::string to_string(const fleet_change& change);

} // namespace laburnumreach::config

#endif
