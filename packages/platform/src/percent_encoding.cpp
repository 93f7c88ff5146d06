#include "laburnumreach/platform/percent_encoding.hpp"

namespace laburnumreach::platform
{

namespace
{

bool stays(char value)
{
    constexpr std::string_view others = "-._~/";
    return (value >= 'a' && value <= 'z') || (value >= 'A' && value <= 'Z') ||
           (value >= '0' && value <= '9') || others.find(value) != std::string_view::npos;
}

} // namespace

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char value : text)
    {
        if (stays(value))
        {
            encoded += value;
            continue;
        }
        const auto byte = static_cast<unsigned char>(value);
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 15U];
    }
    return encoded;
}

} // namespace laburnumreach::platform
