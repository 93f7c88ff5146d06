#ifndef LABURNUMREACH_CONFIG_DAEMON_SETTINGS_TOML_HPP
#define LABURNUMREACH_CONFIG_DAEMON_SETTINGS_TOML_HPP

#include "laburnumreach/config/daemon_settings.hpp"
#include "laburnumreach/config/parse_error.hpp"

#include <filesystem>
#include <string_view>

namespace laburnumreach::config
{

/// Parses and checks the settings of a daemon. Reads the file named by fleet_secret_file; one trailing line
/// end is not part of the secret.
/// @param base_directory directory that a relative fleet_secret_file starts from
/// @returns the settings, or every fault found
parse_result<daemon_settings> parse_daemon_settings(std::string_view text,
                                                    const std::filesystem::path& base_directory);

} // namespace laburnumreach::config

#endif
