#ifndef LABURNUMREACH_PROTOCOL_MEMBERSHIP_MESSAGES_HPP
#define LABURNUMREACH_PROTOCOL_MEMBERSHIP_MESSAGES_HPP

#include "laburnumreach/membership/gossip_message.hpp"
#include "laburnumreach/protocol/message_codec.hpp"

MSGPACK_ADD_ENUM(laburnumreach::membership::member_state);
MSGPACK_ADD_ENUM(laburnumreach::membership::instance_state);
MSGPACK_ADD_ENUM(laburnumreach::membership::gossip_kind);

namespace laburnumreach::protocol
{

template <>
struct message_layout<membership::member_record>
{
    static auto fields(auto& message)
    {
        return std::tie(message.id, message.incarnation, message.version, message.state, message.zone,
                        message.region, message.control_address, message.peer_address, message.caller_address,
                        message.service, message.instance, message.slots, message.upstream,
                        message.lender_epoch);
    }
};

template <>
struct message_layout<membership::record_digest>
{
    static auto fields(auto& message) { return std::tie(message.id, message.version, message.state); }
};

template <>
struct message_layout<membership::gossip_message>
{
    static auto fields(auto& message)
    {
        return std::tie(message.kind, message.sequence, message.target, message.target_address,
                        message.table_hash, message.configuration_revision, message.platform_contact_age_ms,
                        message.updates, message.digests, message.wanted);
    }
};

} // namespace laburnumreach::protocol

#endif
