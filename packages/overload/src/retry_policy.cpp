#include "laburnumreach/overload/retry_policy.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::overload
{

namespace
{

/// Returns whether another instance may run a call that failed or was refused at one instance for this
/// reason.
bool another_instance_may_help(core::reason why)
{
    switch (why)
    {
    case core::reason::connect_failed:
    case core::reason::connection_lost:
    case core::reason::answer_incomplete:
    case core::reason::upstream_silent:
    case core::reason::draining:
    case core::reason::queue_full:
        return true;
    default:
        // A refusal by level applies to the whole service and the other reasons to the request, so a retry
        // only adds load.
        return false;
    }
}

core::duration jittered(core::duration mean, core::random_source& random)
{
    return std::chrono::duration_cast<core::duration>(mean * (0.5 + random.uniform()));
}

} // namespace

retry_decision retry_policy::decide(core::time_point now, const failed_attempt& failed,
                                    attempt_counter& attempts, retry_budget& budget,
                                    core::random_source& random) const
{
    assert(failed.attempts_made >= 1);
    const bool safe = failed.result.result == core::outcome::not_run || failed.idempotent;
    if (!failed.failed_at_this_hop || !safe || !another_instance_may_help(failed.result.why))
    {
        return {};
    }
    if (attempts.remaining() == 0)
    {
        return {.why_not = core::reason::attempts_exhausted};
    }
    const std::uint32_t doublings = std::min(failed.attempts_made - 1, 16U);
    const core::duration backoff =
        jittered(std::min(this->options.base_backoff * (1U << doublings), this->options.max_backoff), random);
    if (backoff >= failed.remaining)
    {
        return {};
    }
    if (!budget.try_take(now))
    {
        return {.why_not = core::reason::retry_budget_exhausted};
    }
    attempts.consume();
    return {.retry = true, .backoff = backoff};
}

std::chrono::milliseconds retry_policy::retry_after(admission_level level, core::random_source& random) const
{
    const double share = static_cast<double>(level) / position_count;
    const auto mean = this->options.min_retry_after +
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          share * (this->options.max_retry_after - this->options.min_retry_after));
    return std::chrono::duration_cast<std::chrono::milliseconds>(jittered(mean, random));
}

} // namespace laburnumreach::overload
