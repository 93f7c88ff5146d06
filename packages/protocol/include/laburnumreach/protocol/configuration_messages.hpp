#ifndef LABURNUMREACH_PROTOCOL_CONFIGURATION_MESSAGES_HPP
#define LABURNUMREACH_PROTOCOL_CONFIGURATION_MESSAGES_HPP

#include "laburnumreach/protocol/message_codec.hpp"

#include <cstdint>
#include <string>

namespace laburnumreach::protocol
{

/// Asks a peer for its configuration.
struct configuration_request
{
    std::uint64_t known_revision = 0; ///< Only a greater revision is of use.
};

/// Carries a configuration document.
struct configuration_reply
{
    std::string document; ///< As stored in the platform.
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
