#include "laburnumreach/sidecar/customer_token_pool.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

void customer_token_pool::record_contact(const std::string& daemon, std::uint64_t started_ms,
                                         core::time_point now)
{
    this->expire(now); // A lease that has ended is not renewed.
    contact& known = this->contacts[daemon];
    if (known.started_ms != started_ms)
    {
        this->close_accounts_of(daemon);
    }
    known = {.started_ms = started_ms, .last = now};
}

void customer_token_pool::set_limits(const std::string& customer, const account_limits& limits)
{
    customer_pool& pool = this->customers[customer];
    pool.limits = limits;
    subtract_withdrawn(pool);
    pool.total = 0;
    for (auto& [daemon, entry] : pool.accounts)
    {
        entry.balance = std::min(entry.balance, limits.balance);
        entry.pending = std::min(entry.pending, limits.balance - entry.balance);
        pool.total += entry.balance;
    }
}

void customer_token_pool::deposit(const std::string& daemon, const token_deposit& entry, core::time_point now)
{
    const auto found = this->customers.find(entry.customer);
    if (found == this->customers.end())
    {
        return;
    }
    customer_pool& pool = found->second;
    release_refill(pool, now);
    account& target = pool.accounts[daemon];
    if (target.pending <= 0)
    {
        target.released = now;
    }
    // A pool may hold one token in any case, since a fraction of a token admits no request.
    const double limit = std::max(pool.limits.balance, 1.0 - (pool.total - target.balance));
    const double room = std::max(0.0, limit - target.balance - target.pending);
    const double tokens = std::min(entry.tokens, room);
    target.balance += tokens;
    target.pending += std::min(entry.refill, room - tokens);
    pool.total += tokens;
}

void customer_token_pool::close(const std::string& customer, const std::string& daemon)
{
    const auto found = this->customers.find(customer);
    if (found == this->customers.end())
    {
        return;
    }
    customer_pool& pool = found->second;
    const auto closed = pool.accounts.find(daemon);
    if (closed != pool.accounts.end())
    {
        subtract_withdrawn(pool);
        pool.total -= closed->second.balance;
        pool.accounts.erase(closed);
    }
}

bool customer_token_pool::withdraw(const std::string& customer, double reserve, core::time_point now)
{
    this->expire(now);
    const auto found = this->customers.find(customer);
    if (found == this->customers.end())
    {
        return false;
    }
    customer_pool& pool = found->second;
    if (now - pool.last_update >= update_interval)
    {
        release_refill(pool, now);
    }
    if (pool.total - pool.withdrawn < 1.0 + reserve)
    {
        return false;
    }
    pool.withdrawn += 1.0;
    return true;
}

double customer_token_pool::capacity(const std::string& customer) const
{
    const auto found = this->customers.find(customer);
    return found == this->customers.end()
               ? 0.0
               : found->second.limits.balance * static_cast<double>(found->second.accounts.size());
}

void customer_token_pool::expire(core::time_point now)
{
    constexpr core::duration check_interval = std::chrono::milliseconds{20};
    if (now - this->last_expiry < check_interval)
    {
        return;
    }
    this->last_expiry = now;
    std::erase_if(this->contacts,
                  [&](const auto& entry)
                  {
                      const bool has_ended = now - entry.second.last > lease_time;
                      if (has_ended)
                      {
                          this->close_accounts_of(entry.first);
                      }
                      return has_ended;
                  });
}

void customer_token_pool::close_accounts_of(const std::string& daemon)
{
    for (const auto& [customer, pool] : this->customers)
    {
        this->close(customer, daemon);
    }
}

/// Subtracts the withdrawn tokens from the balances, in proportion to them.
void customer_token_pool::subtract_withdrawn(customer_pool& pool)
{
    if (pool.withdrawn <= 0)
    {
        return;
    }
    const double remaining = pool.total - pool.withdrawn;
    for (auto& [daemon, entry] : pool.accounts)
    {
        entry.balance *= remaining / pool.total;
    }
    pool.total = remaining;
    pool.withdrawn = 0;
}

/// Makes the future refill available that has become due.
void customer_token_pool::release_refill(customer_pool& pool, core::time_point now)
{
    subtract_withdrawn(pool);
    pool.last_update = now;
    pool.total = 0;
    for (auto& [daemon, entry] : pool.accounts)
    {
        const core::duration elapsed = std::max(core::duration{}, now - entry.released);
        const double due = pool.limits.refill_rate * core::to_seconds(elapsed);
        const double released = std::min(entry.pending, due);
        entry.pending -= released;
        entry.balance += released;
        entry.released += elapsed;
        pool.total += entry.balance;
    }
}

} // namespace laburnumreach::sidecar
