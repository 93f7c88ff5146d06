#ifndef LABURNUMREACH_CTL_CONFIG_TEXT_HPP
#define LABURNUMREACH_CTL_CONFIG_TEXT_HPP

#include "laburnumreach/config/fleet_change.hpp"
#include "laburnumreach/config/parse_error.hpp"
#include "laburnumreach/core/error.hpp"
#include "laburnumreach/ctl/report.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::ctl
{

/// Reads a file; "-" reads the standard input.
/// @returns invalid_argument when it cannot be read; a text beyond the size limit is cut and refused later
core::result<std::string> read_text(const std::string& path);

/// Reports the faults of a text.
/// @param source name that stands before each line number
report fault_report(std::string_view source, std::span<const config::parse_error> faults);

/// Checks an operators' text.
report validate(std::string_view source, std::string_view text);

/// Adds changes to a report: one line each, and the array "changes".
void add_changes(report& target, std::span<const config::fleet_change> changes);

} // namespace laburnumreach::ctl

#endif
