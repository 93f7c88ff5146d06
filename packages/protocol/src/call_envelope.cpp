#include "laburnumreach/protocol/call_envelope.hpp"

#include "laburnumreach/protocol/control_envelope.hpp"

#include <openssl/evp.h>

namespace laburnumreach::protocol
{

namespace
{

std::string to_base64(std::span<const std::uint8_t> bytes)
{
    // EVP_EncodeBlock writes four characters for each group of three bytes, and a terminating null character.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = ::EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(),
                                         static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::vector<std::uint8_t>> from_base64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
    {
        return std::nullopt;
    }
    std::vector<std::uint8_t> bytes(text.size() / 4 * 3);
    const int length = ::EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(text.data()),
                                         static_cast<int>(text.size()));
    if (length < 0)
    {
        return std::nullopt;
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace

std::string to_header_value(const call_envelope& envelope, const message_authenticator& authenticator)
{
    std::vector<std::uint8_t> bytes = encode_message(envelope);
    const message_authenticator::code code = authenticator.sign(bytes);
    bytes.insert(bytes.end(), code.begin(), code.end());
    return to_base64(bytes);
}

std::optional<call_envelope> parse_header_value(std::string_view value,
                                                const message_authenticator& authenticator)
{
    const std::optional<std::vector<std::uint8_t>> bytes = from_base64(value);
    if (!bytes || bytes->size() < message_authenticator::code_bytes)
    {
        return std::nullopt;
    }
    const std::span<const std::uint8_t> signed_message{*bytes};
    const auto message = signed_message.first(signed_message.size() - message_authenticator::code_bytes);
    if (!authenticator.verify(message, signed_message.last(message_authenticator::code_bytes)))
    {
        return std::nullopt;
    }
    std::optional<call_envelope> envelope = decode_message<call_envelope>(message);
    if (envelope && envelope->version != protocol_version)
    {
        return std::nullopt;
    }
    return envelope;
}

} // namespace laburnumreach::protocol
