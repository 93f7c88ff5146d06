#ifndef LABURNUMREACH_PROTOCOL_CALL_ENVELOPE_HPP
#define LABURNUMREACH_PROTOCOL_CALL_ENVELOPE_HPP

#include "laburnumreach/protocol/message_authenticator.hpp"
#include "laburnumreach/protocol/message_codec.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::protocol
{

/// Context of a call on the hop between two daemons.
struct call_envelope
{
    std::uint32_t version = 1;
    std::string sender;     ///< Daemon id of the sending side.
    std::string receiver;   ///< Daemon id of the exit side; a message for another daemon is refused.
    std::string request_id; ///< Unique for each request over the whole chain of its calls.
    std::string tenant;
    std::string service;
    std::string route;
    std::string instance; ///< The upstream instance chosen by the sender.
    std::uint64_t configuration_revision = 0;
    std::uint64_t remaining_us = 0; ///< Time left until the deadline in microseconds.
    std::uint32_t attempts_left = 0;
    std::uint32_t depth = 0;
    std::uint32_t priority = 0; ///< core::priority_class.
    std::uint32_t bucket = 0;   ///< Admission bucket of the tenant and request, 0 to 127.
    /// Requests of the class that were offered at the entry for each admitted one, in thousandths.
    std::uint64_t offered_ratio_thousandths = 1000;
    bool idempotent = false;
};

template <>
struct message_layout<call_envelope>
{
    static auto fields(auto& message)
    {
        return std::tie(message.version, message.sender, message.receiver, message.request_id, message.tenant,
                        message.service, message.route, message.instance, message.configuration_revision,
                        message.remaining_us, message.attempts_left, message.depth, message.priority,
                        message.bucket, message.offered_ratio_thousandths, message.idempotent);
    }
};

/// Encodes and signs an envelope as a header value (base64).
std::string to_header_value(const call_envelope& envelope, const message_authenticator& authenticator);

/// Checks and decodes a header value.
/// @returns no value for a forged, damaged or foreign envelope
std::optional<call_envelope> parse_header_value(std::string_view value,
                                                const message_authenticator& authenticator);

} // namespace laburnumreach::protocol

#endif
