#ifndef LABURNUMREACH_CORE_HEX_HPP
#define LABURNUMREACH_CORE_HEX_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace laburnumreach::core
{

/// Returns two lower-case hex digits for each byte.
inline std::string to_hex(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const std::uint8_t byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace laburnumreach::core

#endif
