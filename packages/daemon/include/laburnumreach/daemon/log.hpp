#ifndef LABURNUMREACH_DAEMON_LOG_HPP
#define LABURNUMREACH_DAEMON_LOG_HPP

#include "laburnumreach/config/daemon_settings.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// A named value in a log line. Never a caller's key.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Sends log lines to standard error from the given severity on. Call it once at start.
void configure_log(config::log_level level);

/// Writes "event=<event> name=value ..." at a severity. Values with spaces, quotes or control characters are
/// quoted.
void log_line(config::log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Returns a value as it appears in a log line.
std::string quote_log_value(std::string_view value);

} // namespace laburnumreach::daemon

#endif
