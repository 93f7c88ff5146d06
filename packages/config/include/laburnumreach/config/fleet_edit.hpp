#ifndef LABURNUMREACH_CONFIG_FLEET_EDIT_HPP
#define LABURNUMREACH_CONFIG_FLEET_EDIT_HPP

#include "laburnumreach/config/fleet_config.hpp"
#include "laburnumreach/config/parse_error.hpp"
#include "laburnumreach/core/error.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Edits of a fleet configuration for the command-line tool. Each one changes the configuration, or returns
/// an error and leaves it unchanged. They check only the errors listed; checked_toml validates the whole
/// configuration before it is stored.
namespace laburnumreach::config
{

/// Adds a key to a tenant.
/// @returns not_found for an unknown tenant, conflict when the tenant already has a key with this id
core::result<void> grant_key(fleet_config& config, std::string_view tenant, std::string_view id,
                             const key_digest& digest);

/// Removes a key of a tenant.
/// @returns not_found for an unknown tenant or key
core::result<void> withdraw_key(fleet_config& config, std::string_view tenant, std::string_view id);

/// Sets the rate in requests per second, the burst in requests, or both.
/// @returns not_found for an unknown tenant
core::result<void> set_rate(fleet_config& config, std::string_view tenant, std::optional<double> rate,
                            std::optional<double> burst);

/// Sets the weight of a tenant.
/// @returns not_found for an unknown tenant
core::result<void> set_weight(fleet_config& config, std::string_view tenant, double weight);

/// Sets the priority class of a route.
/// @returns not_found for an unknown route
core::result<void> set_priority(fleet_config& config, std::string_view service, std::string_view route,
                                core::priority_class priority);

/// Drains an instance: it gets no new requests. The instance need not be known, since its VM may be replaced
/// at any time.
/// @returns conflict when it is already drained
core::result<void> drain_instance(fleet_config& config, std::string_view instance);

/// Ends the draining of an instance.
/// @returns not_found when it is not drained
core::result<void> undrain_instance(fleet_config& config, std::string_view instance);

/// Writes a configuration as TOML and validates the text. Comments are lost.
/// @returns the text, or the errors with their positions in the text that would have been stored
parse_result<std::string> checked_toml(const fleet_config& config);

} // namespace laburnumreach::config

#endif
