#ifndef LABURNUMREACH_CONFIG_DAEMON_SETTINGS_TOML_HPP
#define LABURNUMREACH_CONFIG_DAEMON_SETTINGS_TOML_HPP

#include "laburnumreach/config/daemon_settings.hpp"
#include "laburnumreach/config/parse_error.hpp"

#include <filesystem>
#include <string_view>

namespace laburnumreach::config
{

/// Parses and validates the settings of a daemon. Reads the file named by fleet_secret_file; a trailing line
/// feed is not part of the secret.
/// @param base_directory directory to which a relative fleet_secret_file refers
/// @returns the settings, or every error found
parse_result<daemon_settings> parse_daemon_settings(std::string_view text,
                                                    const std::filesystem::path& base_directory);

} // namespace laburnumreach::config

#endif
