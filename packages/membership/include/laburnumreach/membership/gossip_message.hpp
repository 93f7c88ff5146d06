#ifndef LABURNUMREACH_MEMBERSHIP_GOSSIP_MESSAGE_HPP
#define LABURNUMREACH_MEMBERSHIP_GOSSIP_MESSAGE_HPP

#include "laburnumreach/membership/member_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::membership
{

/// Kind of a gossip message.
enum class gossip_kind : std::uint8_t
{
    ping,          ///< Requests an ack.
    ack,           ///< Reply to a ping, or to a relayed ping.
    ping_request,  ///< Asks the receiver to ping `target` and to relay the ack.
    update,        ///< Carries record updates only.
    sync_digest,   ///< Lists the versions that the sender holds; requests newer records.
    sync_response, ///< Carries records that are newer than a digest, and requests those in `wanted`.
};

/// Version of one member's record, without its content.
struct record_digest
{
    std::string id;
    std::uint64_t version = 0;
    std::uint8_t state = 0; ///< A member_state.
};

/// A message of the membership protocol.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    std::uint64_t sequence = 0;
    std::string target;         ///< Member to probe, for ping_request.
    std::string target_address; ///< Its control address.
    std::uint64_t table_hash = 0;
    std::uint64_t configuration_revision = 0;
    /// Time in milliseconds since the sender, or any member it heard from, last reached the platform.
    std::uint64_t platform_contact_age_ms = 0;
    std::vector<member_record> updates;
    std::vector<record_digest> digests;
    std::vector<std::string> wanted;
};

/// A message to send.
struct outgoing_gossip
{
    std::string address; ///< Control address of the receiver.
    gossip_message message;
};

} // namespace laburnumreach::membership

#endif
