#ifndef LABURNUMREACH_POLICY_BENCH_POLICIES_HPP
#define LABURNUMREACH_POLICY_BENCH_POLICIES_HPP

#include "laburnumreach/overload/call_scheduler.hpp"
#include "laburnumreach/overload/destination.hpp"
#include "laburnumreach/overload/naive_destination.hpp"
#include "laburnumreach/overload/naive_retry.hpp"
#include "laburnumreach/overload/naive_scheduler.hpp"
#include "laburnumreach/overload/retry_policy.hpp"

namespace laburnumreach::policy_bench
{

/// The decision code of the daemon.
struct overload_policy
{
    static constexpr const char* name = "laburnumreach";
    /// Whether a daemon stops the work for a request whose caller went away.
    static constexpr bool cancels = true;
    /// Whether the attempts of a request are bounded over the chain.
    static constexpr bool bounds_attempts = true;
    using exit_side = overload::call_scheduler;
    using caller_side = overload::destination;

    static void set_instance(caller_side& caller, core::time_point now, const overload::instance_info& info)
    {
        caller.instances().set_instance(now, info);
    }

    static overload::retry_decision decide(core::time_point now, const overload::failed_attempt& failed,
                                           overload::attempt_counter& attempts, caller_side& caller,
                                           core::random_source& random)
    {
        return overload::retry_policy{}.decide(now, failed, attempts, caller.retries(), random);
    }
};

/// The baseline.
struct naive_policy
{
    static constexpr const char* name = "naive";
    static constexpr bool cancels = false;
    static constexpr bool bounds_attempts = false;
    using exit_side = overload::naive_scheduler;
    using caller_side = overload::naive_destination;

    static void set_instance(caller_side& caller, core::time_point now, const overload::instance_info& info)
    {
        caller.set_instance(now, info);
    }

    static overload::retry_decision decide(core::time_point /*now*/, const overload::failed_attempt& failed,
                                           overload::attempt_counter& /*attempts*/, caller_side& /*caller*/,
                                           core::random_source& /*random*/)
    {
        return overload::naive_retry{}.decide(failed);
    }
};

} // namespace laburnumreach::policy_bench

#endif
