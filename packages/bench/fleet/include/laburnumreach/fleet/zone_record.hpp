#ifndef LABURNUMREACH_FLEET_ZONE_RECORD_HPP
#define LABURNUMREACH_FLEET_ZONE_RECORD_HPP

#include "laburnumreach/quota/daemon_ref.hpp"
#include "laburnumreach/quota/quota_revision.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace laburnumreach::fleet
{

/// Content of the object zone/<zone> in the platform, as far as lenders need it.
struct zone_record
{
    std::uint64_t version = 0; ///< Zero while the object does not exist.
    std::uint64_t epoch = 0;
    quota::daemon_ref holder;
    std::optional<quota::daemon_ref> successor;
    std::uint64_t write = 0; ///< Number of the holder's write; with holder it identifies the operation.
    std::vector<quota::revision_zones> revisions; ///< In use at the holder.
};

} // namespace laburnumreach::fleet

#endif
