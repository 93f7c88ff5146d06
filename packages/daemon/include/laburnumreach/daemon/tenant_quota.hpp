#ifndef LABURNUMREACH_DAEMON_TENANT_QUOTA_HPP
#define LABURNUMREACH_DAEMON_TENANT_QUOTA_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/core/verdict.hpp"
#include "laburnumreach/quota/borrower.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace laburnumreach::daemon
{

using quota_account = quota::tenant_account<std::mutex>;

/// Charges a tenant's requests and lets a request wait briefly for an answer of the lender. Thread safe.
class tenant_quota
{
public:
    /// Longest wait of a request for the lender, a few round trips within a zone.
    static constexpr core::duration longest_wait = std::chrono::milliseconds{30};

    /// @param account the tenant's account at the borrower
    /// @param notify asks the control thread to poll the borrower
    tenant_quota(std::shared_ptr<quota_account> account, std::function<void()> notify);

    /// Charges one request.
    /// @returns a verdict with reason none, or a refusal with outcome not_run
    core::verdict charge();

    /// Lets waiting requests try again, after a grant.
    void wake();

private:
    std::shared_ptr<quota_account> account;
    std::function<void()> notify;
    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t grants = 0;
};

} // namespace laburnumreach::daemon

#endif
