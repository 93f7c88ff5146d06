#include "laburnumreach/sidecar/fleet_state.hpp"

namespace laburnumreach::sidecar
{

fleet_state::fleet_state(member_record own_record)
    : own_member(std::move(own_record)), table(this->own_member.daemon_id)
{
}

void fleet_state::merge(std::span<const member_record> records)
{
    bool changed = false;
    for (const member_record& record : records)
    {
        changed = (is_valid(record) && this->table.merge(record)) || changed;
    }
    if (changed && this->members_changed)
    {
        this->members_changed();
    }
}

bool fleet_state::offer_config(std::uint64_t offered_version, const std::string& text,
                               const config_origin& origin)
{
    if (offered_version <= this->version || !this->config_received || !this->config_received(text, origin))
    {
        return false;
    }
    this->version = offered_version;
    this->document = text;
    this->fetch_policy.on_config_received();
    return true;
}

void fleet_state::reconcile(frame_stream& stream, peer_sync_state& peer_state, const std::string& peer_zone,
                            std::uint64_t peer_version, std::uint32_t peer_digest, core::time_point now)
{
    const bool same_zone = peer_zone == this->own_member.zone;
    if (this->fetch_policy.should_request(this->version, peer_version, same_zone, now))
    {
        stream.send(frame_type::config_request, config_request_message{.known_version = this->version});
    }
    if (peer_digest == this->digest())
    {
        peer_state.differs_since.reset();
    }
    else if (!peer_state.differs_since)
    {
        peer_state.differs_since = now;
    }
    else if (now - *peer_state.differs_since >= repair_delay && (same_zone || this->cross_zone_repair))
    {
        peer_state.differs_since = now;
        stream.send(frame_type::members,
                    members_message{.members = this->table.all_records(this->own_member)});
    }
}

bool fleet_state::handle(frame_stream& stream, const std::string& sender, frame_type type,
                         std::span<const std::uint8_t> body)
{
    if (type == frame_type::config_request)
    {
        const auto message = decode_frame<config_request_message>(body);
        if (message && message->known_version < this->version)
        {
            stream.send(frame_type::config,
                        config_message{.version = this->version, .document = this->document});
        }
        return true;
    }
    if (type == frame_type::config)
    {
        if (const auto message = decode_frame<config_message>(body))
        {
            this->offer_config(message->version, message->document,
                               {.source = config_source::peer,
                                .peer = sender,
                                .max_age = core::boot_clock::now() - this->fetch_policy.first_reported()});
        }
        return true;
    }
    if (type == frame_type::members)
    {
        if (const auto message = decode_frame<members_message>(body))
        {
            this->merge(message->members);
        }
        return true;
    }
    return false;
}

} // namespace laburnumreach::sidecar
