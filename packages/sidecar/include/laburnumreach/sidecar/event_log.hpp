#ifndef LABURNUMREACH_SIDECAR_EVENT_LOG_HPP
#define LABURNUMREACH_SIDECAR_EVENT_LOG_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>

namespace laburnumreach::sidecar
{

/// A named value of a log line. Never a caller's key.
struct event_field
{
    std::string_view name;
    std::string value;
};

/// Writes structured lines to standard output without ever blocking.
///
/// Lines are collected and written at each flush(). Under load the volume is bounded: lines about requests
/// beyond a rate are counted instead, and a line states how many were left out. Thread safe.
class event_log
{
public:
    /// Lines about requests written in one second; keeps the cost under 1% of a small VM's processor.
    static constexpr std::uint32_t max_request_lines_per_second = 150;

    /// @param daemon_id written on each line
    explicit event_log(std::string daemon_id);

    /// Adds a line on a decision about one request; left out over the rate.
    void request_event(std::string_view event, std::initializer_list<event_field> fields);

    /// Adds a line on a change of state; always kept.
    void state_event(std::string_view event, std::initializer_list<event_field> fields = {});

    /// Writes what the system takes at once; keeps the rest up to a limit, then drops it.
    void flush();

private:
    void append(std::string_view event, std::initializer_list<event_field> fields);

    std::mutex mutex; ///< The control thread logs too; held for the formatting of one line.
    std::string daemon;
    std::string pending;
    core::time_point window_start{};
    std::uint32_t lines_in_window = 0;
    std::uint64_t dropped_lines = 0;
};

} // namespace laburnumreach::sidecar

#endif
