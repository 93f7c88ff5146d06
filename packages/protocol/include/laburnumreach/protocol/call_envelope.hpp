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

/// Context of a call that one daemon forwards to another, sent in a request header.
struct call_envelope
{
    std::uint32_t version = 1;
    std::string sender;     ///< Id of the sending daemon.
    std::string receiver;   ///< Id of the exit daemon; any other daemon refuses the call.
    std::string request_id; ///< Id of the external request; the same in its whole call chain.
    std::string tenant;
    std::string service;
    std::string route;
    std::string instance; ///< The upstream instance chosen by the sender.
    std::uint64_t configuration_revision = 0;
    std::uint64_t remaining_us = 0;  ///< Time left until the deadline.
    std::uint32_t attempts_left = 0; ///< Attempts left in the whole call chain.
    std::uint32_t depth = 0;         ///< Nesting depth in the call chain.
    std::uint32_t priority = 0;      ///< Value of core::priority_class.
    std::uint32_t bucket = 0;        ///< Admission bucket of the request within its priority class, 0 to 127.
    /// Requests of the priority class offered at the entry daemon per admitted request, in thousandths.
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

/// Encodes and signs an envelope as a base64 header value.
std::string to_header_value(const call_envelope& envelope, const message_authenticator& authenticator);

/// Verifies and decodes a header value.
/// @returns no value when the value is malformed, its authentication code is wrong or its version is not
///          supported
std::optional<call_envelope> parse_header_value(std::string_view value,
                                                const message_authenticator& authenticator);

} // namespace laburnumreach::protocol

#endif
