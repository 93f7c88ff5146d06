#ifndef LABURNUMREACH_SIDECAR_MEMBER_TABLE_HPP
#define LABURNUMREACH_SIDECAR_MEMBER_TABLE_HPP

#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// The daemons of the fleet as far as this daemon knows, without itself. Deterministic.
class member_table
{
public:
    explicit member_table(std::string own_id) : self(std::move(own_id)) {}

    /// Merges a record; a later start of the same daemon replaces an earlier one.
    /// @returns whether the table changed
    bool merge(const member_record& record);

    const std::map<std::string, member_record>& members() const noexcept { return this->records; }

    /// Returns an order-independent digest of all records, to compare tables cheaply.
    std::uint32_t digest(const member_record& own) const;

    /// Returns all records with the given own one.
    std::vector<member_record> all(const member_record& own) const;

private:
    std::string self;
    std::map<std::string, member_record> records;
    std::uint32_t records_digest = 0; ///< Sum over the records, kept since each probe carries it.
};

} // namespace laburnumreach::sidecar

#endif
