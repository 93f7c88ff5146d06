#include "laburnumreach/daemon/tenant_quota.hpp"

namespace laburnumreach::daemon
{

namespace
{

core::verdict to_verdict(const quota::spend_decision& decision)
{
    if (decision.result == quota::spend_result::spent)
    {
        return {};
    }
    return {.result = core::outcome::not_run,
            .why = decision.why,
            .retry_after = std::chrono::ceil<std::chrono::milliseconds>(decision.retry_after)};
}

} // namespace

tenant_quota::tenant_quota(std::shared_ptr<quota_account> tenant_account,
                           std::function<void()> notify_control)
    : account(std::move(tenant_account)), notify(std::move(notify_control))
{
}

core::verdict tenant_quota::charge()
{
    const core::boot_clock clock;
    std::unique_lock lock{this->mutex, std::defer_lock};
    quota::spend_decision decision = this->account->try_spend(clock);
    if (decision.notify)
    {
        this->notify();
    }
    if (decision.result != quota::spend_result::wait)
    {
        return to_verdict(decision);
    }
    const core::time_point end = clock.now() + longest_wait;
    lock.lock();
    std::uint64_t seen = this->grants;
    // A grant may have come between try_spend and the lock, so the account is asked again before each wait.
    while (true)
    {
        lock.unlock();
        decision = this->account->retry_spend(clock);
        if (decision.notify)
        {
            this->notify();
        }
        if (decision.result != quota::spend_result::wait)
        {
            return to_verdict(decision);
        }
        const core::time_point now = clock.now();
        if (now >= end)
        {
            return to_verdict(this->account->give_up(clock));
        }
        lock.lock();
        this->changed.wait_for(lock, end - now, [&] { return this->grants != seen; });
        seen = this->grants;
    }
}

void tenant_quota::wake()
{
    {
        const std::lock_guard lock{this->mutex};
        ++this->grants;
    }
    this->changed.notify_all();
}

} // namespace laburnumreach::daemon
