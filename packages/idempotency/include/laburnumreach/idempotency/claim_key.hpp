#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_KEY_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_KEY_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laburnumreach::idempotency
{

/// Number of slot objects that share all claims.
inline constexpr std::size_t slot_count = 32;

/// Greatest length of an Idempotency-Key header value, in characters.
inline constexpr std::size_t max_idempotency_key_length = 128;

/// Returns whether a header value is a valid Idempotency-Key: 1 to 128 visible ASCII characters.
bool valid_idempotency_key(std::string_view value) noexcept;

/// Identifies one non-idempotent operation of one tenant on one route.
///
/// The digest is SHA-256 truncated to 128 bits, because tenants choose the hashed text and could construct
/// collisions of a non-cryptographic hash.
struct claim_key
{
    std::array<std::uint8_t, 16> digest{};

    friend bool operator==(const claim_key&, const claim_key&) = default;
    friend bool operator<(const claim_key& left, const claim_key& right) noexcept
    {
        return left.digest < right.digest;
    }
};

/// Computes the claim key of a request.
/// @param idempotency_key a value that passed valid_idempotency_key
claim_key make_claim_key(std::string_view tenant, std::string_view route, std::string_view idempotency_key);

/// Returns the number of the slot object that holds a key, below slot_count.
std::size_t slot_of(const claim_key& key) noexcept;

/// Hash for unordered containers. The digest is uniform already.
struct claim_key_hash
{
    std::size_t operator()(const claim_key& key) const noexcept;
};

} // namespace laburnumreach::idempotency

#endif
