#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_OUTCOME_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_OUTCOME_HPP

#include "laburnumreach/core/verdict.hpp"

#include <cstdint>

namespace laburnumreach::idempotency
{

/// Answer to a claim request.
enum class claim_outcome : std::uint8_t
{
    granted,                   ///< This attempt, and no other, may run the request.
    duplicate_in_progress,     ///< Another attempt holds the claim and its owner is running.
    duplicate_finished,        ///< Another attempt ran the request to its end.
    duplicate_outcome_unknown, ///< Another attempt holds the claim and its owner process is gone.
    claim_store_unavailable,   ///< The claim is not known to be recorded; this attempt must not run.
    claim_table_full,          ///< The slot holds no free record; this attempt must not run.
};

/// Returns the verdict for the caller of a request whose claim was not granted.
///
/// The outcome not_run speaks of the refused attempt: it never ran and never will.
/// @param value any outcome other than granted
core::verdict to_verdict(claim_outcome value) noexcept;

} // namespace laburnumreach::idempotency

#endif
