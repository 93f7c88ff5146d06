#ifndef LABURNUMREACH_QUOTA_TENANT_ACCOUNT_HPP
#define LABURNUMREACH_QUOTA_TENANT_ACCOUNT_HPP

#include "laburnumreach/quota/tenant_bucket.hpp"

#include <mutex>

namespace laburnumreach::quota
{

/// Stands in for a mutex where one thread does everything.
struct no_mutex
{
    void lock() {}
    void unlock() {}
};

/// A tenant_bucket with the lock that the daemon chose.
/// @tparam Mutex a BasicLockable
template <typename Mutex>
class tenant_account
{
public:
    /// Spends one token; see tenant_bucket::try_spend. The clock is read inside the lock.
    template <core::clock_source Clock>
    spend_decision try_spend(const Clock& clock)
    {
        return this->with([&clock](tenant_bucket& tenant) { return tenant.try_spend(clock.now()); });
    }

    /// Tries again after a wait; see tenant_bucket::retry_spend.
    template <core::clock_source Clock>
    spend_decision retry_spend(const Clock& clock)
    {
        return this->with([&clock](tenant_bucket& tenant) { return tenant.retry_spend(clock.now()); });
    }

    /// Ends a wait; see tenant_bucket::give_up.
    template <core::clock_source Clock>
    spend_decision give_up(const Clock& clock)
    {
        return this->with([&clock](tenant_bucket& tenant) { return tenant.give_up(clock.now()); });
    }

    /// Calls a function with the bucket under the lock.
    template <typename Function>
    auto with(Function&& function)
    {
        const std::lock_guard lock{this->mutex};
        return function(this->bucket);
    }

private:
    [[no_unique_address]] Mutex mutex;
    tenant_bucket bucket;
};

} // namespace laburnumreach::quota

#endif
