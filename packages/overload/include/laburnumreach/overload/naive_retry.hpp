#ifndef LABURNUMREACH_OVERLOAD_NAIVE_RETRY_HPP
#define LABURNUMREACH_OVERLOAD_NAIVE_RETRY_HPP

#include "laburnumreach/overload/retry_policy.hpp"

#include <cstdint>

namespace laburnumreach::overload
{

/// For comparison in tests and benchmarks: each hop makes up to three attempts, whichever hop saw the
/// failure, as long as the request may run again. Over a chain of n hops, one request can cause 3^n attempts.
class naive_retry
{
public:
    static constexpr std::uint32_t attempts_per_hop = 3;

    retry_decision decide(const failed_attempt& failed) const
    {
        const bool safe = failed.result.result == core::outcome::not_run || failed.idempotent;
        return {.retry = safe && failed.attempts_made < attempts_per_hop};
    }
};

} // namespace laburnumreach::overload

#endif
