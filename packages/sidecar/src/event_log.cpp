#include "laburnumreach/sidecar/event_log.hpp"

#include "laburnumreach/core/wall_clock.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace laburnumreach::sidecar
{

namespace
{

/// Size of the buffer above which new lines are dropped, while standard output accepts none.
constexpr std::size_t max_pending_bytes = 256 * 1024;

void append_value(std::string& line, std::string_view value)
{
    const bool plain =
        !value.empty() &&
        std::all_of(value.begin(), value.end(),
                    [](unsigned char character) { return std::isgraph(character) != 0 && character != '"'; });
    if (plain)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
    {
        const bool printable = std::isprint(static_cast<unsigned char>(character)) != 0;
        line += printable && character != '"' ? character : '?';
    }
    line += '"';
}

} // namespace

event_log::event_log(std::string daemon_id, int output_descriptor)
    : daemon(std::move(daemon_id)), output(output_descriptor)
{
    const int flags = ::fcntl(this->output, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(this->output, F_SETFL, flags | O_NONBLOCK);
    }
}

void event_log::request_event(std::string_view event, std::initializer_list<event_field> fields)
{
    const std::lock_guard lock{this->mutex};
    const core::time_point now = core::boot_clock::now();
    if (now - this->window_start >= std::chrono::seconds{1})
    {
        this->window_start = now;
        this->lines_in_window = 0;
        if (this->dropped_lines > 0 &&
            this->append("log_lines_left_out", {{"count", std::to_string(this->dropped_lines)}}))
        {
            this->dropped_lines = 0;
        }
    }
    if (this->lines_in_window >= max_request_lines_per_second)
    {
        ++this->dropped_lines;
        return;
    }
    ++this->lines_in_window;
    this->append_or_count(event, fields);
}

void event_log::state_event(std::string_view event, std::initializer_list<event_field> fields)
{
    const std::lock_guard lock{this->mutex};
    this->append_or_count(event, fields);
}

void event_log::append_or_count(std::string_view event, std::initializer_list<event_field> fields)
{
    if (!this->append(event, fields))
    {
        ++this->dropped_lines;
    }
}

/// @returns false if the buffer is full; the line is then dropped
bool event_log::append(std::string_view event, std::initializer_list<event_field> fields)
{
    if (this->pending.size() > max_pending_bytes)
    {
        return false;
    }
    this->pending +=
        "time_ms=" + std::to_string(core::wall_clock_ms()) + " daemon=" + this->daemon + " event=";
    this->pending += event;
    for (const event_field& field : fields)
    {
        this->pending += ' ';
        this->pending += field.name;
        this->pending += '=';
        append_value(this->pending, field.value);
    }
    this->pending += '\n';
    return true;
}

void event_log::flush()
{
    const std::lock_guard lock{this->mutex};
    if (this->pending.empty())
    {
        return;
    }
    const ssize_t written = ::write(this->output, this->pending.data(), this->pending.size());
    if (written > 0)
    {
        this->pending.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace laburnumreach::sidecar
