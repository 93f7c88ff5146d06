#include "laburnumreach/sidecar/member_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace laburnumreach::sidecar
{

namespace
{

std::uint32_t record_digest(const member_record& record)
{
    const std::uint64_t seed = record.started_ms + (record.left ? 1 : 0);
    const std::uint64_t hash = XXH3_64bits_withSeed(record.daemon_id.data(), record.daemon_id.size(), seed);
    return static_cast<std::uint32_t>(hash);
}

} // namespace

bool member_table::merge(const member_record& record)
{
    if (record.daemon_id == this->own_id || record.daemon_id.empty())
    {
        return false;
    }
    const auto [position, inserted] = this->records.try_emplace(record.daemon_id, record);
    if (inserted)
    {
        this->records_digest += record_digest(record);
        return true;
    }
    const member_record& known = position->second;
    const bool later = record.started_ms > known.started_ms;
    const bool left_now = record.started_ms == known.started_ms && record.left && !known.left;
    if (later || left_now)
    {
        this->records_digest += record_digest(record) - record_digest(known);
        position->second = record;
        return true;
    }
    return false;
}

std::uint32_t member_table::digest(const member_record& own) const
{
    return this->records_digest + record_digest(own);
}

std::vector<member_record> member_table::all_records(const member_record& own) const
{
    std::vector<member_record> copies{own};
    for (const auto& [id, record] : this->records)
    {
        copies.push_back(record);
    }
    return copies;
}

} // namespace laburnumreach::sidecar
