#include "laburnumreach/membership/member_table.hpp"

#include <unordered_set>
#include <xxhash.h>

namespace laburnumreach::membership
{

namespace
{

std::uint64_t hash_of(const member_record& record)
{
    const std::uint64_t seed = record.version * 4 + static_cast<std::uint64_t>(record.state);
    return ::XXH3_64bits_withSeed(record.id.data(), record.id.size(), seed);
}

} // namespace

bool supersedes(std::uint64_t version, member_state state, std::uint64_t other_version,
                member_state other_state) noexcept
{
    return version > other_version || (version == other_version && state > other_state);
}

bool member_table::merge(const member_record& record, core::time_point now)
{
    const auto found = this->members.find(record.id);
    if (found == this->members.end())
    {
        this->combined_hash ^= hash_of(record);
        this->members.emplace(record.id, table_entry{.record = record, .changed_at = now});
        return true;
    }
    member_record& held = found->second.record;
    if (!supersedes(record.version, record.state, held.version, held.state))
    {
        return false;
    }
    this->combined_hash ^= hash_of(held) ^ hash_of(record);
    held = record;
    found->second.changed_at = now;
    return true;
}

void member_table::remove_stale(core::time_point changed_before)
{
    for (auto entry = this->members.begin(); entry != this->members.end();)
    {
        const member_record& record = entry->second.record;
        const bool gone = record.state == member_state::dead || record.state == member_state::left;
        if (gone && entry->second.changed_at < changed_before)
        {
            this->combined_hash ^= hash_of(record);
            entry = this->members.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
}

const table_entry* member_table::find(std::string_view id) const
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr : &found->second;
}

std::vector<record_digest> member_table::digests() const
{
    std::vector<record_digest> list;
    list.reserve(this->members.size());
    for (const auto& [id, entry] : this->members)
    {
        list.push_back({.id = id,
                        .version = entry.record.version,
                        .state = static_cast<std::uint8_t>(entry.record.state)});
    }
    return list;
}

gossip_message member_table::compare(const std::vector<record_digest>& digests) const
{
    gossip_message response{.kind = gossip_kind::sync_response};
    std::unordered_set<std::string_view> listed;
    for (const record_digest& digest : digests)
    {
        listed.insert(digest.id);
        const table_entry* entry = this->find(digest.id);
        const auto peer_state = static_cast<member_state>(digest.state);
        if (entry == nullptr ||
            supersedes(digest.version, peer_state, entry->record.version, entry->record.state))
        {
            response.wanted.push_back(digest.id);
        }
        else if (supersedes(entry->record.version, entry->record.state, digest.version, peer_state))
        {
            response.updates.push_back(entry->record);
        }
    }
    for (const auto& [id, entry] : this->members)
    {
        if (!listed.contains(id))
        {
            response.updates.push_back(entry.record);
        }
    }
    return response;
}

} // namespace laburnumreach::membership
