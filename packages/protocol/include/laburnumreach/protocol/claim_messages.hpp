#ifndef LABURNUMREACH_PROTOCOL_CLAIM_MESSAGES_HPP
#define LABURNUMREACH_PROTOCOL_CLAIM_MESSAGES_HPP

#include "laburnumreach/idempotency/claim_message.hpp"
#include "laburnumreach/protocol/message_codec.hpp"
#include "laburnumreach/protocol/variant_codec.hpp"

MSGPACK_ADD_ENUM(laburnumreach::idempotency::claim_outcome);
MSGPACK_ADD_ENUM(laburnumreach::idempotency::claim_update_kind);

namespace laburnumreach::protocol
{

template <>
struct message_layout<idempotency::claim_key>
{
    static auto fields(auto& message) { return std::tie(message.digest); }
};

template <>
struct message_layout<idempotency::process_id>
{
    static auto fields(auto& message) { return std::tie(message.incarnation, message.daemon); }
};

template <>
struct message_layout<idempotency::claim_token>
{
    static auto fields(auto& message) { return std::tie(message.owner, message.sequence); }
};

template <>
struct message_layout<idempotency::claim_request>
{
    static auto fields(auto& message) { return std::tie(message.key, message.token); }
};

template <>
struct message_layout<idempotency::claim_response>
{
    static auto fields(auto& message)
    {
        return std::tie(message.token, message.outcome, message.holder, message.may_be_recorded);
    }
};

template <>
struct message_layout<idempotency::claim_update>
{
    static auto fields(auto& message) { return std::tie(message.key, message.token, message.kind); }
};

template <>
struct message_layout<idempotency::claim_acknowledgement>
{
    static auto fields(auto& message) { return std::tie(message.token, message.kind); }
};

} // namespace laburnumreach::protocol

#endif
