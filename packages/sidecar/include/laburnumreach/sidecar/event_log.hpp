#ifndef LABURNUMREACH_SIDECAR_EVENT_LOG_HPP
#define LABURNUMREACH_SIDECAR_EVENT_LOG_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <unistd.h>

namespace laburnumreach::sidecar
{

/// A named value of a log line. Must not contain an API key.
struct event_field
{
    std::string_view name;
    std::string value;
};

/// Writes structured log lines to standard output without blocking.
///
/// Lines are buffered and written by flush(). The rate of lines about requests is limited: lines beyond it
/// are dropped and counted, and a later line states the count. Thread safe.
class event_log
{
public:
    /// Keeps the cost of logging under 1% of a small VM's processor.
    static constexpr std::uint32_t max_request_lines_per_second = 150;

    /// @param daemon_id written on each line
    /// @param output_descriptor file descriptor to write to, which is made non-blocking
    explicit event_log(std::string daemon_id, int output_descriptor = STDOUT_FILENO);

    /// Logs an event of one request, unless the rate limit is exceeded.
    void request_event(std::string_view event, std::initializer_list<event_field> fields);

    /// Logs a change of state; not subject to the rate limit.
    void state_event(std::string_view event, std::initializer_list<event_field> fields = {});

    /// Writes as much of the buffer as standard output accepts without blocking, and keeps the rest.
    void flush();

private:
    void append_or_count(std::string_view event, std::initializer_list<event_field> fields);
    bool append(std::string_view event, std::initializer_list<event_field> fields);

    /// Held while one line is formatted or the buffer is written, since the control thread logs too.
    std::mutex mutex;
    std::string daemon;
    int output;
    std::string pending;
    core::time_point window_start{};
    std::uint32_t lines_in_window = 0;
    std::uint64_t dropped_lines = 0;
};

} // namespace laburnumreach::sidecar

#endif
