#ifndef LABURNUMREACH_MEMBERSHIP_MEMBER_TABLE_HPP
#define LABURNUMREACH_MEMBERSHIP_MEMBER_TABLE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/membership/gossip_message.hpp"
#include "laburnumreach/membership/member_record.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::membership
{

/// A record and when this daemon last changed its copy.
struct table_entry
{
    member_record record;
    core::time_point changed_at;
};

/// Records of all members. Merging is independent of the order and repetition of updates.
class member_table
{
public:
    /// Stores a record if it is newer than the one held: a greater version, or the same version with a
    /// greater state.
    /// @returns whether the table changed
    bool merge(const member_record& record, core::time_point now);

    /// Removes dead and left members whose records did not change since the given time.
    void remove_stale(core::time_point changed_before);

    /// Returns the entry of a member, or null.
    const table_entry* find(std::string_view id) const;

    /// Returns all entries by member id.
    const std::map<std::string, table_entry, std::less<>>& entries() const noexcept { return this->members; }

    /// Returns a hash over the id, version and state of all records, equal for equal tables.
    std::uint64_t hash() const noexcept { return this->combined_hash; }

    /// Lists the version of every record.
    std::vector<record_digest> digests() const;

    /// Compares a peer's digests with the table.
    /// @param digests all digests of the peer
    /// @returns records newer here in `updates`, and ids newer at the peer in `wanted`
    gossip_message compare(const std::vector<record_digest>& digests) const;

private:
    std::map<std::string, table_entry, std::less<>> members;
    std::uint64_t combined_hash = 0;
};

/// Returns whether a version and state supersede another.
bool supersedes(std::uint64_t version, member_state state, std::uint64_t other_version,
                member_state other_state) noexcept;

} // namespace laburnumreach::membership

#endif
