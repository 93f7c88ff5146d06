#include "laburnumreach/sidecar/fleet_knowledge.hpp"

namespace laburnumreach::sidecar
{

fleet_knowledge::fleet_knowledge(member_record own_record)
    : self(std::move(own_record)), table(this->self.daemon_id)
{
}

void fleet_knowledge::merge(std::span<const member_record> records)
{
    bool changed = false;
    for (const member_record& record : records)
    {
        changed = this->table.merge(record) || changed;
    }
    if (changed && this->members_changed)
    {
        this->members_changed();
    }
}

bool fleet_knowledge::offer_config(std::uint64_t offered_version, const std::string& text)
{
    if (offered_version <= this->version || !this->config_received || !this->config_received(text))
    {
        return false;
    }
    this->version = offered_version;
    this->document = text;
    return true;
}

void fleet_knowledge::repair(frame_stream& stream, std::uint64_t peer_version,
                             std::uint64_t peer_digest) const
{
    if (peer_version < this->version)
    {
        stream.send(frame_type::config, config_message{.version = this->version, .document = this->document});
    }
    if (peer_digest != this->digest())
    {
        stream.send(frame_type::members, members_message{.members = this->table.all(this->self)});
    }
}

bool fleet_knowledge::handle(frame_type type, std::span<const std::uint8_t> body)
{
    if (type == frame_type::config)
    {
        if (const auto message = protocol::decode_message<config_message>(body))
        {
            this->offer_config(message->version, message->document);
        }
        return true;
    }
    if (type == frame_type::members)
    {
        if (const auto message = protocol::decode_message<members_message>(body))
        {
            this->merge(message->members);
        }
        return true;
    }
    return false;
}

} // namespace laburnumreach::sidecar
