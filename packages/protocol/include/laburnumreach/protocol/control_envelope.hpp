#ifndef LABURNUMREACH_PROTOCOL_CONTROL_ENVELOPE_HPP
#define LABURNUMREACH_PROTOCOL_CONTROL_ENVELOPE_HPP

#include "laburnumreach/protocol/message_authenticator.hpp"
#include "laburnumreach/protocol/message_codec.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace laburnumreach::protocol
{

/// Version of the protocol between daemons. Messages of another version are dropped and counted.
inline constexpr std::uint32_t protocol_version = 1;

/// Kind of a control message; selects the type of the body.
enum class control_kind : std::uint32_t
{
    membership = 1,
    quota = 2,
    configuration_request = 3,
    configuration_reply = 4,
    claim = 5,
};

/// A control message between daemons: the body and its routing data.
struct control_envelope
{
    std::uint32_t version = protocol_version;
    std::uint32_t kind = 0; ///< A control_kind; kept as a number so that unknown kinds can be counted.
    std::string sender;     ///< Daemon id.
    std::uint64_t sender_incarnation = 0;
    std::string sender_address; ///< Control address for replies, "ip:port".
    std::string receiver;       ///< Daemon id; empty when the sender knows only the address.
    std::vector<std::uint8_t> body;
};

template <>
struct message_layout<control_envelope>
{
    static auto fields(auto& message)
    {
        return std::tie(message.version, message.kind, message.sender, message.sender_incarnation,
                        message.sender_address, message.receiver, message.body);
    }
};

/// Encodes an envelope and appends its authentication code.
std::vector<std::uint8_t> encode_and_sign(const control_envelope& envelope,
                                          const message_authenticator& authenticator);

/// Verifies the authentication code and the version, and decodes an envelope.
/// @returns no value when the message is malformed, its authentication code is wrong or its version is not
///          supported
std::optional<control_envelope> verify_and_decode(std::span<const std::uint8_t> bytes,
                                                  const message_authenticator& authenticator);

} // namespace laburnumreach::protocol

#endif
