#ifndef LABURNUMREACH_CONFIG_KEY_DIGEST_HPP
#define LABURNUMREACH_CONFIG_KEY_DIGEST_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::config
{

/// SHA-256 digest of a tenant's API key. The keys themselves are never stored.
struct key_digest
{
    std::array<std::uint8_t, 32> bytes{};

    friend bool operator==(const key_digest&, const key_digest&) = default;
};

/// Hash for unordered containers. The digest is uniformly distributed, so its first bytes serve as the hash.
struct key_digest_hash
{
    std::size_t operator()(const key_digest& digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes.data(), sizeof value);
        return value;
    }
};

/// Returns the digest of a key as sent by the caller. Does not allocate.
key_digest sha256_of_key(std::string_view key) noexcept;

/// Returns 64 lower-case hex digits.
std::string to_hex(const key_digest& digest);

/// Parses exactly 64 hex digits of either case.
std::optional<key_digest> parse_key_digest(std::string_view hex) noexcept;

} // namespace laburnumreach::config

#endif
