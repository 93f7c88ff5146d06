#include "laburnumreach/idempotency/claim_outcome.hpp"

#include <cassert>

namespace laburnumreach::idempotency
{

core::verdict to_verdict(claim_outcome value) noexcept
{
    using namespace std::chrono_literals;
    assert(value != claim_outcome::granted);
    switch (value)
    {
    case claim_outcome::granted:
        break;
    case claim_outcome::duplicate_in_progress:
        return {core::outcome::may_have_run, core::reason::duplicate_in_progress, 1s};
    case claim_outcome::duplicate_finished:
        return {core::outcome::ran, core::reason::duplicate_finished, 0s};
    case claim_outcome::duplicate_outcome_unknown:
        return {core::outcome::may_have_run, core::reason::duplicate_outcome_unknown, 0s};
    case claim_outcome::claim_store_unavailable:
        return {core::outcome::not_run, core::reason::claim_store_unavailable, 1s};
    case claim_outcome::claim_table_full:
        return {core::outcome::not_run, core::reason::claim_table_full, 10s};
    }
    return {core::outcome::may_have_run, core::reason::duplicate_outcome_unknown, 0s};
}

} // namespace laburnumreach::idempotency
