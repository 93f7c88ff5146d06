#include "laburnumreach/protocol/control_envelope.hpp"

namespace laburnumreach::protocol
{

std::vector<std::uint8_t> encode_and_sign(const control_envelope& envelope,
                                          const message_authenticator& authenticator)
{
    std::vector<std::uint8_t> bytes = encode_message(envelope);
    const message_authenticator::code code = authenticator.sign(bytes);
    bytes.insert(bytes.end(), code.begin(), code.end());
    return bytes;
}

std::optional<control_envelope> verify_and_decode(std::span<const std::uint8_t> bytes,
                                                  const message_authenticator& authenticator)
{
    if (bytes.size() < message_authenticator::code_bytes)
    {
        return std::nullopt;
    }
    const auto message = bytes.first(bytes.size() - message_authenticator::code_bytes);
    if (!authenticator.verify(message, bytes.last(message_authenticator::code_bytes)))
    {
        return std::nullopt;
    }
    std::optional<control_envelope> envelope = decode_message<control_envelope>(message);
    if (envelope && envelope->version != protocol_version)
    {
        return std::nullopt;
    }
    return envelope;
}

} // namespace laburnumreach::protocol
