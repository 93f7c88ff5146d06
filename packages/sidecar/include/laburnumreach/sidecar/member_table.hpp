#ifndef LABURNUMREACH_SIDECAR_MEMBER_TABLE_HPP
#define LABURNUMREACH_SIDECAR_MEMBER_TABLE_HPP

#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// The known daemons of the fleet, except this one. Deterministic.
class member_table
{
public:
    explicit member_table(std::string own_daemon) : own_id(std::move(own_daemon)) {}

    /// Merges a record; a record of a later incarnation replaces an earlier one.
    /// @returns whether the table changed
    bool merge(const member_record& record);

    const std::map<std::string, member_record>& members() const noexcept { return this->records; }

    /// Returns an order-independent digest of all records and the own one, to compare tables cheaply.
    std::uint32_t digest(const member_record& own) const;

    /// Returns the own record, followed by all others.
    std::vector<member_record> all_records(const member_record& own) const;

private:
    std::string own_id;
    std::map<std::string, member_record> records;
    std::uint32_t records_digest =
        0; ///< Sum over the records; maintained incrementally, since each probe carries it.
};

} // namespace laburnumreach::sidecar

#endif
