#include "laburnumreach/daemon/load_header.hpp"

#include <array>
#include <charconv>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::size_t field_count = 5;

} // namespace

std::string to_header_value(const hop_report& report)
{
    const auto nested_us = std::chrono::duration_cast<std::chrono::microseconds>(report.nested).count();
    return std::to_string(report.load.own_level) + ' ' + std::to_string(report.load.dependency_level) + ' ' +
           std::to_string(report.load.queue_delay.count()) + ' ' + std::to_string(report.unused_attempts) +
           ' ' + std::to_string(nested_us);
}

std::optional<hop_report> parse_hop_report(std::string_view value)
{
    std::array<std::uint64_t, field_count> numbers{};
    const char* position = value.data();
    const char* const end = value.data() + value.size();
    for (std::size_t index = 0; index < field_count; ++index)
    {
        if (index > 0 && (position == end || *position++ != ' '))
        {
            return std::nullopt;
        }
        const auto parsed = std::from_chars(position, end, numbers.at(index));
        if (parsed.ec != std::errc{})
        {
            return std::nullopt;
        }
        position = parsed.ptr;
    }
    if (position != end || numbers[0] > overload::position_count || numbers[1] > overload::position_count)
    {
        return std::nullopt;
    }
    hop_report report;
    report.load.own_level = static_cast<overload::admission_level>(numbers[0]);
    report.load.dependency_level = static_cast<overload::admission_level>(numbers[1]);
    report.load.queue_delay = std::chrono::milliseconds{numbers[2]};
    report.unused_attempts = static_cast<std::uint32_t>(numbers[3]);
    report.nested = std::chrono::microseconds{numbers[4]};
    return report;
}

} // namespace laburnumreach::daemon
