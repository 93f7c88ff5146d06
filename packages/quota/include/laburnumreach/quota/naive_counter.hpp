#ifndef LABURNUMREACH_QUOTA_NAIVE_COUNTER_HPP
#define LABURNUMREACH_QUOTA_NAIVE_COUNTER_HPP

#include "laburnumreach/quota/quota_revision.hpp"
#include "laburnumreach/quota/token_bucket.hpp"

namespace laburnumreach::quota
{

/// One exact bucket for a tenant over the whole fleet, without messages or faults. Baseline for tests and
/// benches.
class naive_counter
{
public:
    /// The bucket starts full.
    naive_counter(const tenant_quota& quota, core::time_point now)
        : bucket(part{.rate = quota.rate, .capacity = quota.burst, .tokens = quota.burst}, now)
    {
    }

    /// Changes the quota. Tokens that no longer fit are dropped; more room starts filled.
    void change(const tenant_quota& quota, core::time_point now)
    {
        const std::int64_t grown = quota.burst - this->bucket.contents().capacity;
        this->bucket.resize(quota.rate, quota.burst, now);
        if (grown > 0)
        {
            this->bucket.add_tokens(grown);
        }
    }

    /// Admits a request if the fleet's bucket has a token.
    bool try_spend(core::time_point now) { return this->bucket.try_spend(now); }

private:
    token_bucket bucket;
};

} // namespace laburnumreach::quota

#endif
