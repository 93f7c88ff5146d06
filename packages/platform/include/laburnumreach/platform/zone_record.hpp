#ifndef LABURNUMREACH_PLATFORM_ZONE_RECORD_HPP
#define LABURNUMREACH_PLATFORM_ZONE_RECORD_HPP

#include "laburnumreach/core/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::platform
{

/// A revision of the configuration whose quotas the zone's lender uses.
struct listed_revision
{
    std::uint64_t revision = 0;
    std::vector<std::string> zones; ///< Zones among which that revision splits rate and burst.

    friend bool operator==(const listed_revision&, const listed_revision&) = default;
};

/// Content of the platform object zone/<zone>.
struct zone_record
{
    static constexpr std::size_t max_members = 32;

    std::string holder;               ///< Daemon id of the lender; empty after a graceful release.
    std::uint64_t incarnation = 0;    ///< Incarnation of the holder.
    std::uint64_t epoch = 0;          ///< Positive; grows by one at each takeover.
    std::string successor;            ///< Only daemon that may take over early; empty when nobody is named.
    std::vector<std::string> members; ///< Control addresses of some members, as seeds.
    /// Revisions in use, ascending. The next lender relies on them, since other zones do.
    std::vector<listed_revision> revisions;
    std::string operation_id; ///< Id of the write, so that the writer recognises it.

    friend bool operator==(const zone_record&, const zone_record&) = default;
};

/// Returns the name of the object of a zone.
std::string zone_object_name(std::string_view zone);

/// Encodes a record as JSON.
std::string encode(const zone_record& record);

/// Decodes a record.
/// @returns invalid_argument when the value is not a valid record
core::result<zone_record> decode_zone_record(std::string_view value);

} // namespace laburnumreach::platform

#endif
