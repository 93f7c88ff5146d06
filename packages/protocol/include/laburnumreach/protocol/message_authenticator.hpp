#ifndef LABURNUMREACH_PROTOCOL_MESSAGE_AUTHENTICATOR_HPP
#define LABURNUMREACH_PROTOCOL_MESSAGE_AUTHENTICATOR_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace laburnumreach::protocol
{

/// Authenticates messages between daemons with HMAC-SHA256, keyed with the fleet secret.
class message_authenticator
{
public:
    /// Size of an authentication code in bytes.
    static constexpr std::size_t code_bytes = 32;
    using code = std::array<std::uint8_t, code_bytes>;

    /// @param fleet_secret at least 16 bytes
    explicit message_authenticator(std::string_view fleet_secret);

    /// Returns the authentication code of a message.
    code sign(std::span<const std::uint8_t> message) const;

    /// Returns whether a code is valid for a message. Compares in constant time.
    bool verify(std::span<const std::uint8_t> message, std::span<const std::uint8_t> expected) const;

private:
    std::string secret;
};

} // namespace laburnumreach::protocol

#endif
