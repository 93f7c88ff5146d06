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
    /// Range of the mean advised wait, from no overload to a closed gate. Refused callers that wait longer
    /// come back long after the overload and prolong it.
    std::chrono::milliseconds min_retry_after{200};
    std::chrono::milliseconds max_retry_after{2000};
};

/// A failed attempt as the hop that sent it sees it.
struct failed_attempt
{
    core::verdict result;
    /// Whether this hop saw the failure itself: it could not connect, its connection broke, or the exit
    /// daemon that it called refused the call. False for a failure that a hop further down reported.
    bool failed_at_this_hop = true;
    bool idempotent = false;
    /// Attempts of the request that this hop made so far, at least 1.
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
    /// Why there is no retry: attempts_exhausted or retry_budget_exhausted; none when a retry is not
    /// allowed or of no use, in which case the verdict of the attempt stands.
    core::reason why_not = core::reason::none;
};

/// Decides on retries. Stateless.
class retry_policy
{
public:
    explicit retry_policy(const retry_options& retry = {}) : options(retry) {}

    /// Decides whether this hop tries again; uses up one attempt and one retry of the budget if so.
    retry_decision decide(core::time_point now, const failed_attempt& failed, attempt_counter& attempts,
                          retry_budget& budget, core::random_source& random) const;

    /// Returns the advised wait for a refused caller: rising with the level and spread at random over half
    /// to one and a half times its mean, so that refused callers do not return together.
    std::chrono::milliseconds retry_after(admission_level level, core::random_source& random) const;

private:
    retry_options options;
};

} // namespace laburnumreach::overload

#endif
