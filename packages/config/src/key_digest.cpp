#include "laburnumreach/config/key_digest.hpp"

#include "laburnumreach/core/hex.hpp"

#include <openssl/sha.h>

namespace laburnumreach::config
{

namespace
{

std::optional<std::uint8_t> parse_hex_digit(char digit) noexcept
{
    if (digit >= '0' && digit <= '9')
    {
        return static_cast<std::uint8_t>(digit - '0');
    }
    const char lower = static_cast<char>(digit | 0x20);
    if (lower >= 'a' && lower <= 'f')
    {
        return static_cast<std::uint8_t>(lower - 'a' + 10);
    }
    return std::nullopt;
}

} // namespace

key_digest sha256_of_key(std::string_view key) noexcept
{
    key_digest digest;
    ::SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

std::string to_hex(const key_digest& digest)
{
    return core::to_hex(digest.bytes);
}

std::optional<key_digest> parse_key_digest(std::string_view hex) noexcept
{
    key_digest digest;
    if (hex.size() != 2 * digest.bytes.size())
    {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < digest.bytes.size(); ++index)
    {
        const auto high = parse_hex_digit(hex[2 * index]);
        const auto low = parse_hex_digit(hex[2 * index + 1]);
        if (!high || !low)
        {
            return std::nullopt;
        }
        digest.bytes[index] = static_cast<std::uint8_t>(*high << 4U | *low);
    }
    return digest;
}

} // namespace laburnumreach::config
