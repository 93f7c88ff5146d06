#ifndef LABURNUMREACH_CTL_REPORT_HPP
#define LABURNUMREACH_CTL_REPORT_HPP

#include "laburnumreach/core/error.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace laburnumreach::ctl
{

/// Exit codes of laburnumctl.
enum class exit_code : int
{
    ok = 0,
    refused = 1,     ///< The input is invalid or the request does not fit the configuration.
    usage = 2,       ///< Wrong arguments.
    unreachable = 3, ///< The platform or daemon did not answer; after a write its effect may be unknown.
    conflict = 4,    ///< Another operator changed the configuration first; nothing was changed.
};

/// Result of a command: text for people, JSON for programs.
struct report
{
    exit_code code = exit_code::ok;
    std::string text; ///< Ends with a line end unless empty.
    nlohmann::ordered_json json = nlohmann::ordered_json::object();
};

/// Returns the exit code for an error of the platform or of an edit.
exit_code exit_code_of(core::error_code code) noexcept;

/// Builds a report of an error.
report error_report(const core::error& error);

} // namespace laburnumreach::ctl

#endif
