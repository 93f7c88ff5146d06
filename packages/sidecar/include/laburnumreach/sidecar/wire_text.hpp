#ifndef LABURNUMREACH_SIDECAR_WIRE_TEXT_HPP
#define LABURNUMREACH_SIDECAR_WIRE_TEXT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::sidecar
{

/// Returns whole milliseconds; zero for a negative duration.
inline std::uint32_t to_ms(core::duration value)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

/// Parses whole milliseconds.
/// @returns no value if the text is not a number
inline std::optional<std::uint32_t> parse_ms(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional{value} : std::nullopt;
}

/// Returns a serialized Retry-After field, in seconds; empty unless the wait is positive.
inline std::string retry_after_field(core::duration wait)
{
    if (wait <= core::duration::zero())
    {
        return {};
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "Retry-After: %.2f\r\n", core::to_seconds(wait));
    return text.data();
}

/// Returns serialized header fields, without hop-by-hop fields.
inline std::string end_to_end_fields(http::headers fields)
{
    http::remove_hop_by_hop(fields);
    std::string text;
    for (const auto& [name, value] : fields)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

} // namespace laburnumreach::sidecar

#endif
