#ifndef LABURNUMREACH_OVERLOAD_RETRY_POLICY_HPP
#define LABURNUMREACH_OVERLOAD_RETRY_POLICY_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/core/verdict.hpp"
#include "laburnumreach/overload/admission_position.hpp"
#include "laburnumreach/overload/attempt_counter.hpp"
#include "laburnumreach/overload/retry_budget.hpp"

namespace laburnumreach::overload
{

/// Settings of a retry_policy.
struct retry_options
{
    /// Mean wait before the first retry; doubles with each further one.
    core::duration base_backoff = std::chrono::milliseconds{5};
    core::duration max_backoff = std::chrono::milliseconds{100};
    /// Range of the mean retry_after, from no overload to a gate that refuses everything. Refused callers
    /// that wait longer return long after the overload and prolong its effects.
    std::chrono::milliseconds min_retry_after{200};
    std::chrono::milliseconds max_retry_after{2000};
};

/// A failed attempt, as seen by the hop that sent it.
struct failed_attempt
{
    core::verdict result;
    /// Whether this hop saw the failure itself: it could not connect, its connection broke, or the exit
    /// daemon that it called refused the call. False for a failure that a later hop reported.
    bool failed_at_this_hop = true;
    bool idempotent = false;
    /// Attempts that this hop has made for the request, at least 1.
    std::uint32_t attempts_made = 1;
    /// Time left until the deadline.
    core::duration remaining{0};
};

/// Result of retry_policy::decide.
struct retry_decision
{
    bool retry = false;
    /// Wait before the retry.
    core::duration backoff{0};
    /// Why there is no retry: attempts_exhausted or retry_budget_exhausted; none when a retry is not allowed
    /// or would not help, in which case the verdict of the attempt applies.
    core::reason why_not = core::reason::none;
};

/// Decides on retries. Stateless.
class retry_policy
{
public:
    explicit retry_policy(const retry_options& retry = {}) : options(retry) {}

    /// Decides whether this hop retries; if so, consumes one retry of the request's attempts and one of the
    /// budget.
    retry_decision decide(core::time_point now, const failed_attempt& failed, attempt_counter& attempts,
                          retry_budget& budget, core::random_source& random) const;

    /// Returns the wait to advise to a refused caller. It rises with the level and is spread at random over
    /// half to one and a half times its mean, so that refused callers do not return together.
    std::chrono::milliseconds retry_after(admission_level level, core::random_source& random) const;

private:
    retry_options options;
};

} // namespace laburnumreach::overload

#endif
