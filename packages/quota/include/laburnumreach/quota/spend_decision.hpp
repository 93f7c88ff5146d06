#ifndef LABURNUMREACH_QUOTA_SPEND_DECISION_HPP
#define LABURNUMREACH_QUOTA_SPEND_DECISION_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/core/time.hpp"

#include <cstdint>

namespace laburnumreach::quota
{

/// What becomes of a request that asked for a token.
enum class spend_result : std::uint8_t
{
    spent,   ///< A token was spent.
    wait,    ///< Wait for an answer of the lender, then call retry_spend, and give_up after the longest wait.
    refused, ///< The request is refused with the reason given.
};

/// Result of tenant_bucket::try_spend.
struct spend_decision
{
    spend_result result = spend_result::refused;
    core::reason why = core::reason::none;
    core::duration retry_after{0};
    bool notify = false; ///< The control thread should call borrower::poll now.
};

} // namespace laburnumreach::quota

#endif
