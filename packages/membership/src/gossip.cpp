#include "laburnumreach/membership/gossip.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <iterator>
#include <utility>

namespace laburnumreach::membership
{

namespace
{

/// Limit of records in one synchronization message; keeps it far below the transport's size limit.
constexpr std::size_t max_sync_records = 256;
constexpr core::duration dead_probe_period = std::chrono::seconds{1};
/// Largest age of a contact that is considered, a year; a larger one from the wire could overflow the clock.
constexpr std::uint64_t max_contact_age_ms = 365ULL * 86'400 * 1000;

} // namespace

gossip::gossip(const gossip_options& gossip_settings, const member_record& own, core::random_source source,
               core::time_point now)
    : options(gossip_settings),
      self(own),
      random(source),
      next_probe_at(now),
      next_dead_probe_at(now),
      next_sync_at(now),
      last_peer_contact(now),
      last_platform_contact(now)
{
    assert(!own.id.empty());
    this->members.merge(this->self, now);
    this->queue_update(this->self.id);
}

std::vector<outgoing_gossip> gossip::tick(core::time_point now)
{
    outbox out;
    if (now >= this->next_probe_at)
    {
        this->send_probes(now, out);
        this->next_probe_at = now + this->options.probe_period;
    }
    if (now >= this->next_dead_probe_at)
    {
        this->probe_dead_members(now, out);
        this->next_dead_probe_at = now + dead_probe_period;
    }
    this->check_probes(now, out);
    this->check_suspects(now, out);
    this->members.remove_stale(now - this->options.retention);
    return out;
}

std::vector<outgoing_gossip> gossip::receive(core::time_point now, std::string_view sender_id,
                                             std::string_view sender_address, const gossip_message& message)
{
    outbox out;
    if (sender_id == this->self.id)
    {
        return out;
    }
    this->record_contact(now, sender_address, message, out);
    const bool changed = this->apply_updates(now, message.updates, out);
    if (changed && message.kind != gossip_kind::sync_response)
    {
        this->push(now, out);
    }
    switch (message.kind)
    {
    case gossip_kind::ping:
        this->send(now, sender_address, {.kind = gossip_kind::ack, .sequence = message.sequence}, out);
        break;
    case gossip_kind::ack:
        this->pending_probes.erase(message.sequence);
        if (const auto relay = this->relayed_probes.find(message.sequence);
            relay != this->relayed_probes.end())
        {
            this->send(now, relay->second.requester_address,
                       {.kind = gossip_kind::ack, .sequence = relay->second.requester_sequence}, out);
            this->relayed_probes.erase(relay);
        }
        break;
    case gossip_kind::ping_request:
        this->relayed_probes[this->next_sequence] = {.requester_address = std::string{sender_address},
                                                     .requester_sequence = message.sequence,
                                                     .sent_at = now};
        this->send(now, message.target_address,
                   {.kind = gossip_kind::ping, .sequence = this->next_sequence++}, out);
        break;
    case gossip_kind::update:
        break;
    case gossip_kind::sync_digest:
        this->answer_digest(now, sender_address, message, out);
        break;
    case gossip_kind::sync_response:
        this->send_wanted_records(now, sender_address, message, out);
        break;
    }
    return out;
}

std::vector<outgoing_gossip> gossip::publish_self(core::time_point now, member_record next)
{
    outbox out;
    next.id = this->self.id;
    next.version = this->self.version + 1;
    this->self = std::move(next);
    this->members.merge(this->self, now);
    this->queue_update(this->self.id);
    this->push(now, out);
    return out;
}

std::vector<outgoing_gossip> gossip::leave(core::time_point now)
{
    return this->update_self(now, [](member_record& record) { record.state = member_state::left; });
}

std::vector<outgoing_gossip> gossip::set_configuration_revision(core::time_point now,
                                                                std::uint64_t new_revision)
{
    outbox out;
    if (new_revision <= this->revision)
    {
        return out;
    }
    this->revision = new_revision;
    if (this->newer_config && this->newer_config->revision <= new_revision)
    {
        this->newer_config.reset();
    }
    this->push(now, out);
    return out;
}

void gossip::record_platform_contact(core::time_point now)
{
    this->last_platform_contact = now;
}

core::duration gossip::platform_contact_age(core::time_point now) const
{
    return now - this->last_platform_contact;
}

std::vector<std::string> gossip::take_unresponsive_addresses()
{
    return std::exchange(this->unresponsive_addresses, {});
}

void gossip::send_probes(core::time_point now, outbox& out)
{
    const std::vector<const member_record*> successors = this->ring_successors();
    for (const member_record* member : successors)
    {
        this->probe(now, *member, out);
    }
    const std::vector<const member_record*> live = this->live_members();
    if (live.size() > successors.size())
    {
        this->probe(now, *live[this->random.below(live.size())], out);
    }
    if (live.empty())
    {
        for (const std::string& seed : this->options.seeds)
        {
            this->send(now, seed, {.kind = gossip_kind::ping, .sequence = this->next_sequence++}, out);
        }
    }
}

void gossip::probe(core::time_point now, const member_record& target, outbox& out)
{
    const std::uint64_t sequence = this->next_sequence++;
    this->pending_probes[sequence] = {.target = target.id, .address = target.control_address, .sent_at = now};
    gossip_message message{.kind = gossip_kind::ping, .sequence = sequence};
    if (target.state == member_state::suspect)
    {
        // Tells the target of the suspicion, so that it can refute it.
        message.updates.push_back(target);
    }
    this->send(now, target.control_address, std::move(message), out);
}

void gossip::check_probes(core::time_point now, outbox& out)
{
    for (auto entry = this->pending_probes.begin(); entry != this->pending_probes.end();)
    {
        pending_probe& pending = entry->second;
        if (now - pending.sent_at >= this->options.suspect_after)
        {
            const std::string target = pending.target;
            this->unresponsive_addresses.push_back(pending.address);
            entry = this->pending_probes.erase(entry);
            this->set_state(now, target, member_state::suspect, out);
            continue;
        }
        if (!pending.indirect_sent && now - pending.sent_at >= this->options.probe_timeout)
        {
            pending.indirect_sent = true;
            const std::vector<const member_record*> live = this->live_members();
            for (std::size_t count = 0; count < this->options.relays && !live.empty(); ++count)
            {
                const member_record& relay = *live[this->random.below(live.size())];
                if (relay.id != pending.target)
                {
                    this->send(now, relay.control_address,
                               {.kind = gossip_kind::ping_request,
                                .sequence = entry->first,
                                .target = pending.target,
                                .target_address = pending.address},
                               out);
                }
            }
        }
        ++entry;
    }
    std::erase_if(this->relayed_probes, [&](const auto& relay)
                  { return now - relay.second.sent_at >= this->options.suspect_after; });
}

void gossip::check_suspects(core::time_point now, outbox& out)
{
    std::vector<std::string> expired;
    for (const auto& [id, entry] : this->members.entries())
    {
        if (entry.record.state == member_state::suspect &&
            now - entry.changed_at >= this->options.suspicion_timeout)
        {
            expired.push_back(id);
        }
    }
    for (const std::string& id : expired)
    {
        this->set_state(now, id, member_state::dead, out);
    }
}

void gossip::probe_dead_members(core::time_point now, outbox& out)
{
    std::vector<const member_record*> dead;
    for (const auto& [id, entry] : this->members.entries())
    {
        if (entry.record.state == member_state::dead)
        {
            dead.push_back(&entry.record);
        }
    }
    if (!dead.empty())
    {
        const member_record& target = *dead[this->random.below(dead.size())];
        gossip_message message{.kind = gossip_kind::ping, .sequence = this->next_sequence++};
        message.updates.push_back(target);
        this->send(now, target.control_address, std::move(message), out);
        return;
    }
    // A seed that is still unknown may belong to a part of the fleet that was unreachable when this daemon
    // started.
    if (!this->options.seeds.empty())
    {
        const std::string& seed = this->options.seeds[this->random.below(this->options.seeds.size())];
        const auto& entries = this->members.entries();
        const bool known =
            std::any_of(entries.begin(), entries.end(),
                        [&](const auto& item) { return item.second.record.control_address == seed; });
        if (!known)
        {
            this->send(now, seed, {.kind = gossip_kind::ping, .sequence = this->next_sequence++}, out);
        }
    }
}

bool gossip::apply_updates(core::time_point now, const std::vector<member_record>& records, outbox& out)
{
    bool changed = false;
    for (const member_record& record : records)
    {
        changed = this->apply(now, record, out) || changed;
    }
    return changed;
}

bool gossip::apply(core::time_point now, const member_record& record, outbox& out)
{
    if (record.id != this->self.id)
    {
        const bool changed = this->members.merge(record, now);
        if (changed)
        {
            this->queue_update(record.id);
        }
        return changed;
    }
    if (!supersedes(record.version, record.state, this->self.version, this->self.state))
    {
        return false;
    }
    // Refutes a suspicion, or supersedes a record of an earlier process whose wall clock was ahead of this
    // one's.
    this->self.version = record.version;
    outbox pushed = this->publish_self(now, this->self);
    std::move(pushed.begin(), pushed.end(), std::back_inserter(out));
    return false;
}

void gossip::set_state(core::time_point now, std::string_view id, member_state state, outbox& out)
{
    const table_entry* entry = this->members.find(id);
    if (entry == nullptr)
    {
        return;
    }
    member_record changed = entry->record;
    changed.state = state;
    if (this->apply(now, changed, out))
    {
        this->push(now, out);
    }
}

void gossip::queue_update(std::string_view id)
{
    std::erase_if(this->pending_updates, [id](const pending_update& update) { return update.id == id; });
    this->pending_updates.push_front({.id = std::string{id}, .sends_left = this->sends_per_update()});
}

void gossip::push(core::time_point now, outbox& out)
{
    const std::vector<const member_record*> live = this->live_members();
    for (std::size_t count = 0; count < this->options.push_fanout && !live.empty(); ++count)
    {
        const member_record& target = *live[this->random.below(live.size())];
        this->send(now, target.control_address, {.kind = gossip_kind::update}, out);
    }
}

void gossip::answer_digest(core::time_point now, std::string_view address, const gossip_message& message,
                           outbox& out)
{
    gossip_message response = this->members.compare(message.digests);
    std::vector<member_record> newer = std::exchange(response.updates, {});
    do
    {
        const std::size_t count = std::min(newer.size(), max_sync_records);
        gossip_message part = std::exchange(response, {.kind = gossip_kind::sync_response});
        part.updates.assign(newer.end() - static_cast<std::ptrdiff_t>(count), newer.end());
        newer.resize(newer.size() - count);
        this->send(now, address, std::move(part), out);
    } while (!newer.empty());
}

void gossip::send_wanted_records(core::time_point now, std::string_view address,
                                 const gossip_message& message, outbox& out)
{
    gossip_message response{.kind = gossip_kind::update};
    for (const std::string& id : message.wanted)
    {
        if (const table_entry* entry = this->members.find(id); entry != nullptr)
        {
            response.updates.push_back(entry->record);
        }
        if (response.updates.size() >= max_sync_records)
        {
            break;
        }
    }
    if (!response.updates.empty())
    {
        this->send(now, address, std::move(response), out);
    }
}

void gossip::send(core::time_point now, std::string_view address, gossip_message message, outbox& out)
{
    message.table_hash = this->members.hash();
    message.configuration_revision = this->revision;
    message.platform_contact_age_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(this->platform_contact_age(now)).count());
    std::size_t taken = 0;
    for (pending_update& update : this->pending_updates)
    {
        if (taken == this->options.max_updates_per_message)
        {
            break;
        }
        if (const table_entry* entry = this->members.find(update.id); entry != nullptr)
        {
            message.updates.push_back(entry->record);
        }
        --update.sends_left;
        ++taken;
    }
    std::erase_if(this->pending_updates, [](const pending_update& update) { return update.sends_left == 0; });
    out.push_back({.address = std::string{address}, .message = std::move(message)});
}

void gossip::record_contact(core::time_point now, std::string_view address, const gossip_message& message,
                            outbox& out)
{
    this->last_peer_contact = now;
    if (message.platform_contact_age_ms <= max_contact_age_ms)
    {
        const core::time_point contact = now - std::chrono::milliseconds{message.platform_contact_age_ms};
        this->last_platform_contact = std::max(this->last_platform_contact, contact);
    }
    if (message.configuration_revision > this->revision &&
        (!this->newer_config || this->newer_config->revision < message.configuration_revision))
    {
        this->newer_config = {.address = std::string{address}, .revision = message.configuration_revision};
    }
    const bool table_differs = message.table_hash != this->members.hash();
    const bool is_sync =
        message.kind == gossip_kind::sync_digest || message.kind == gossip_kind::sync_response;
    if (table_differs && !is_sync && now >= this->next_sync_at)
    {
        this->next_sync_at = now + this->options.min_sync_interval;
        this->send(now, address, {.kind = gossip_kind::sync_digest, .digests = this->members.digests()}, out);
    }
}

std::vector<const member_record*> gossip::live_members() const
{
    std::vector<const member_record*> live;
    for (const auto& [id, entry] : this->members.entries())
    {
        const member_state state = entry.record.state;
        if (id != this->self.id && (state == member_state::alive || state == member_state::suspect))
        {
            live.push_back(&entry.record);
        }
    }
    return live;
}

std::vector<const member_record*> gossip::ring_successors() const
{
    std::vector<const member_record*> live = this->live_members();
    const std::size_t count = std::min(this->options.ring_successors, live.size());
    const auto first_after_self =
        std::upper_bound(live.begin(), live.end(), this->self.id,
                         [](const std::string& id, const member_record* member) { return id < member->id; });
    std::rotate(live.begin(), first_after_self, live.end());
    live.resize(count);
    return live;
}

std::size_t gossip::sends_per_update() const
{
    // Sending each update three times the binary logarithm of the member count reaches every member with high
    // probability.
    const std::size_t count = this->members.entries().size();
    return 3 * static_cast<std::size_t>(std::bit_width(count + 1));
}

} // namespace laburnumreach::membership
