#ifndef LABURNUMREACH_PROTOCOL_CONFIGURATION_MESSAGES_HPP
#define LABURNUMREACH_PROTOCOL_CONFIGURATION_MESSAGES_HPP

#include "laburnumreach/protocol/message_codec.hpp"

#include <cstdint>
#include <string>

namespace laburnumreach::protocol
{

/// Asks another daemon for its configuration document.
struct configuration_request
{
    std::uint64_t known_revision = 0; ///< Revision that the sender has; only a later one is useful.
};

/// Answers a configuration_request.
struct configuration_reply
{
    std::string document; ///< JSON of a config::config_document, as stored in the platform.
};

template <>
struct message_layout<configuration_request>
{
    static auto fields(auto& message) { return std::tie(message.known_revision); }
};

template <>
struct message_layout<configuration_reply>
{
    static auto fields(auto& message) { return std::tie(message.document); }
};

} // namespace laburnumreach::protocol

#endif
