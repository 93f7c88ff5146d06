#ifndef LABURNUMREACH_CONFIG_SIDECAR_SETTINGS_CHANGE_HPP
#define LABURNUMREACH_CONFIG_SIDECAR_SETTINGS_CHANGE_HPP

#include "laburnumreach/config/sidecar_settings.hpp"

#include <string>
#include <vector>

namespace laburnumreach::config
{

/// Compares settings with those of the running process.
/// @returns the names, as in the file, of changed settings that take effect only at the next start: identity,
///          addresses and listeners
std::vector<std::string> changes_that_need_a_restart(const sidecar_settings& active,
                                                     const sidecar_settings& loaded);

} // namespace laburnumreach::config

#endif
