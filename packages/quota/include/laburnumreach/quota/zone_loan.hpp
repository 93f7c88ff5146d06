#ifndef LABURNUMREACH_QUOTA_ZONE_LOAN_HPP
#define LABURNUMREACH_QUOTA_ZONE_LOAN_HPP

#include "laburnumreach/quota/borrowed_loan.hpp"
#include "laburnumreach/quota/part.hpp"

namespace laburnumreach::quota
{

/// What a lender borrows of one tenant from the lender of one other zone.
struct zone_loan
{
    borrowed_loan loan;
    part held;                  ///< Rate and capacity that count towards the zone's total.
    std::int64_t returning = 0; ///< Tokens to give back with the next request.
    std::uint64_t settled_seq =
        0; ///< Newest grant that the zone's loans fit into; only this one is acknowledged.
    core::time_point asked_at{}; ///< Last request to that zone.
    core::time_point denied_until{};
    bool answered = true; ///< The last request was answered.
};

} // namespace laburnumreach::quota

#endif
