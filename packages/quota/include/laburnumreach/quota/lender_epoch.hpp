#ifndef LABURNUMREACH_QUOTA_LENDER_EPOCH_HPP
#define LABURNUMREACH_QUOTA_LENDER_EPOCH_HPP

#include <compare>
#include <cstdint>

namespace laburnumreach::quota
{

/// Orders the lenders of one zone.
struct lender_epoch
{
    std::uint64_t record = 0;   ///< Epoch in the zone record when the lender took over through the platform.
    std::uint32_t handover = 0; ///< Graceful handovers since then; they need no platform.

    // NOLINTNEXTLINE(modernize-use-nullptr): false report for a defaulted comparison
    friend auto operator<=>(const lender_epoch&, const lender_epoch&) = default;
};

} // namespace laburnumreach::quota

#endif
