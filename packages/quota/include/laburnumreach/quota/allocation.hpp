#ifndef LABURNUMREACH_QUOTA_ALLOCATION_HPP
#define LABURNUMREACH_QUOTA_ALLOCATION_HPP

#include "laburnumreach/quota/part.hpp"

#include <cstdint>

namespace laburnumreach::quota
{

/// How a zone takes part in the pooling of a small tenant; see quota_revision::pooling_zone.
enum class pooling : std::uint8_t
{
    none,
    home,   ///< Borrows all parts and lends single tokens.
    member, ///< Lends its part to the home zone and borrows single tokens.
};

/// What the distribution of one tenant's quota to one borrower rests on.
struct allocation_input
{
    part base;                      ///< The zone's own share.
    part total;                     ///< The zone's share with what it borrows.
    part unlent;                    ///< What the lender has left.
    part outstanding;               ///< What this borrower may hold.
    part latest;                    ///< What this borrower was last granted.
    part lent_to_zones;             ///< What other zones may hold, this borrower excluded.
    std::int64_t daemon_demand = 0; ///< Demand of the zone's daemons, this borrower included.
    std::int64_t demand = 0;        ///< Demand of this borrower.
    std::int64_t held_tokens = 0;   ///< Tokens of this borrower as it reported.
    std::int64_t wanted = 0;        ///< Tokens that this borrower waits for.
    pooling pooled = pooling::none;
};

/// A grant before it gets loan id, sequence number and term.
struct allocation
{
    part granted;          ///< Rate and capacity of the loan; tokens to add.
    bool one_shot = false; ///< Only for the requests that wait.
    bool satisfied = true; ///< Whether the waiting requests get their tokens.
};

/// Divides by demand between the daemons of a zone and keeps a reserve for daemons that fall short.
allocation allocate_to_daemon(const allocation_input& input);

/// Lends to another zone what this zone's daemons do not need.
allocation allocate_to_zone(const allocation_input& input);

} // namespace laburnumreach::quota

#endif
