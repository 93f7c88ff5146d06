#ifndef LABURNUMREACH_CONFIG_FLEET_CONFIG_TOML_HPP
#define LABURNUMREACH_CONFIG_FLEET_CONFIG_TOML_HPP

#include "laburnumreach/config/fleet_config.hpp"
#include "laburnumreach/config/parse_error.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace laburnumreach::config
{

/// Upper limits of a fleet configuration. They keep the stored document below the 1 MB value limit of the
/// platform and the time to validate it far below a second.
struct fleet_limits
{
    static constexpr std::size_t text_bytes = 900'000;
    static constexpr std::size_t zones = 64;
    static constexpr std::size_t services = 1'000;
    static constexpr std::size_t routes = 10'000;
    static constexpr std::size_t tenants = 10'000;
    static constexpr std::size_t keys_per_tenant = 64;
    static constexpr std::size_t drained_instances = 10'000;
    static constexpr std::size_t name_bytes = 64;
    static constexpr std::size_t path_bytes = 512;
    static constexpr std::int64_t max_body_bytes = 1LL << 30;
    static constexpr double rate = 1e9;
    static constexpr double burst = 1e9;
    static constexpr double weight = 1e6;
};

/// Parses and validates a fleet configuration in TOML.
/// @returns the complete configuration, or every error found
parse_result<fleet_config> parse_fleet_config(std::string_view text);

/// Writes a configuration as TOML. Comments and the order of keys of the text that it was read from are lost.
/// The text of a valid configuration parses to an equal configuration.
std::string to_toml(const fleet_config& config);

} // namespace laburnumreach::config

#endif
