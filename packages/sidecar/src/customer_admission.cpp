#include "laburnumreach/sidecar/customer_admission.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace laburnumreach::sidecar
{

void customer_admission::configure(std::span<const customer> customers, core::time_point now)
{
    this->limiter.configure(customers, now);
    const auto is_removed = [this](const std::string& name) { return !this->limiter.is_limited(name); };
    this->pool.remove_if(is_removed);
    // An open account outlives its customer, who may be added again while the pool daemon still has it.
    std::erase_if(this->accounts,
                  [&](const auto& entry) { return is_removed(entry.first) && !entry.second.is_open; });
    this->limiter.for_each_customer(
        [&](const std::string& customer)
        {
            const bool is_new = this->accounts.try_emplace(customer).second;
            if (is_new && !this->configured && !this->starts_full)
            {
                // An earlier process of this daemon may have an open account at any daemon.
                this->accounts[customer] = {.is_open = true, .last_contact = now};
                this->limiter.set_lending(customer, true, now);
            }
        });
    this->configured = true;
    this->set_account_limits();
    std::erase_if(this->refusals,
                  [this](const auto& refused) { return !this->limiter.is_limited(refused.first); });
    this->assign_pool_daemons();
}

void customer_admission::set_daemon_count(std::size_t count)
{
    this->limiter.set_daemon_count(count);
    this->set_account_limits();
}

void customer_admission::set_account_limits()
{
    this->limiter.for_each_customer(
        [this](const std::string& customer)
        {
            this->pool.set_limits(customer, {.balance = this->limiter.lent_share(customer),
                                             .refill_rate = this->limiter.rate_share(customer)});
        });
}

std::vector<std::string> customer_admission::on_deposits(const std::string& sender, std::uint64_t started_ms,
                                                         std::span<const token_deposit> deposits,
                                                         core::time_point now)
{
    this->pool.record_contact(sender, started_ms, now);
    std::vector<std::string> closed;
    for (const token_deposit& entry : deposits)
    {
        if (entry.closes || !this->grants)
        {
            this->pool.close(entry.customer, sender);
            closed.push_back(entry.customer);
        }
        else
        {
            this->pool.deposit(sender, entry, now);
        }
    }
    return closed;
}

void customer_admission::on_closed_accounts(const std::string& pool_daemon,
                                            std::span<const std::string> customers, core::time_point now)
{
    for (const std::string& customer : customers)
    {
        const auto found = this->accounts.find(customer);
        if (found != this->accounts.end() && found->second.is_open && found->second.holder == pool_daemon)
        {
            this->close_account(customer, now);
        }
    }
}

void customer_admission::on_daemon_left(const std::string& daemon, core::time_point now)
{
    for (auto& [customer, account] : this->accounts)
    {
        if (account.is_open && account.holder == daemon)
        {
            this->close_account(customer, now);
        }
    }
}

void customer_admission::stop_granting()
{
    this->grants = false;
    this->pool.clear();
}

void customer_admission::set_reachable_daemons(std::vector<std::string> reachable)
{
    reachable.push_back(this->daemon_id);
    std::sort(reachable.begin(), reachable.end());
    if (reachable != this->daemons)
    {
        this->daemons = std::move(reachable);
        this->assign_pool_daemons();
    }
}

/// Chooses the pool daemon of each customer by rendezvous hashing, so that few customers move when a daemon
/// joins or leaves.
void customer_admission::assign_pool_daemons()
{
    this->pool_daemons.clear();
    this->customers_by_pool_daemon.clear();
    this->misplaced_accounts.clear();
    this->limiter.for_each_customer(
        [this](const std::string& customer)
        {
            const std::uint64_t seed = XXH3_64bits(customer.data(), customer.size());
            const std::string& pool_daemon =
                *std::max_element(this->daemons.begin(), this->daemons.end(),
                                  [seed](const std::string& one, const std::string& other)
                                  {
                                      return XXH3_64bits_withSeed(one.data(), one.size(), seed) <
                                             XXH3_64bits_withSeed(other.data(), other.size(), seed);
                                  });
            this->pool_daemons.emplace(customer, pool_daemon);
            this->customers_by_pool_daemon[pool_daemon].push_back(customer);
            const deposit_account& account = this->accounts[customer];
            if (account.is_open && account.holder != pool_daemon)
            {
                this->misplaced_accounts.insert(customer);
            }
        });
    for (const auto& [customer, account] : this->accounts)
    {
        if (account.is_open && !this->limiter.is_limited(customer))
        {
            this->misplaced_accounts.insert(customer);
        }
    }
}

void customer_admission::admit(const std::string& customer, double urgency, core::time_point now,
                               admission_callback callback)
{
    if (this->limiter.try_charge(customer, urgency, now))
    {
        callback(true);
        return;
    }
    const std::string& pool_daemon = this->pool_daemons.at(customer);
    if (pool_daemon == this->daemon_id)
    {
        callback(this->withdraw(customer, urgency, now));
        return;
    }
    const auto refused = this->refusals.find(customer);
    if (refused != this->refusals.end() && now < refused->second.until && urgency <= refused->second.urgency)
    {
        callback(false);
        return;
    }
    const std::uint64_t id = this->next_id++;
    this->pending.emplace(
        id, pending_request{
                .customer = customer, .urgency = urgency, .sent = now, .callback = std::move(callback)});
    this->send_token_request(pool_daemon, {.id = id, .customer = customer, .urgency = urgency});
}

bool customer_admission::withdraw(const std::string& customer, double urgency, core::time_point now)
{
    const double reserve = this->limiter.reserve_fraction(customer) * this->pool.capacity(customer);
    return this->grants && this->pool.withdraw(customer, (1.0 - urgency) * reserve, now);
}

token_grant_message customer_admission::on_token_request(const token_request_message& request,
                                                         core::time_point now)
{
    return {.id = request.id, .granted = this->withdraw(request.customer, request.urgency, now)};
}

void customer_admission::on_token_grant(const token_grant_message& grant)
{
    const auto found = this->pending.find(grant.id);
    if (found == this->pending.end())
    {
        return; // The answer came too late. A lost token does not violate the limit.
    }
    if (!grant.granted)
    {
        cached_refusal& last = this->refusals[found->second.customer];
        last = {.urgency = found->second.urgency, .until = found->second.sent + refusal_cache_time};
    }
    this->finish(grant.id, grant.granted);
}

void customer_admission::finish(std::uint64_t id, bool admitted)
{
    const auto node = this->pending.extract(id);
    node.mapped().callback(admitted);
}

std::vector<token_deposit> customer_admission::take_deposits(const std::string& pool_daemon,
                                                             core::time_point now)
{
    std::vector<token_deposit> deposits;
    const auto assigned = this->customers_by_pool_daemon.find(pool_daemon);
    if (assigned != this->customers_by_pool_daemon.end())
    {
        for (const std::string& customer : assigned->second)
        {
            this->add_deposit(customer, pool_daemon, now, deposits);
        }
    }
    for (const std::string& customer : this->misplaced_accounts)
    {
        this->accounts.at(customer).is_closing = true;
        this->add_deposit(customer, pool_daemon, now, deposits);
    }
    return deposits;
}

/// Adds what concerns a customer's account to a probe, unless another daemon still has the account.
void customer_admission::add_deposit(const std::string& customer, const std::string& pool_daemon,
                                     core::time_point now, std::vector<token_deposit>& deposits)
{
    deposit_account& account = this->accounts.at(customer);
    if (account.is_open && account.holder != pool_daemon)
    {
        return;
    }
    account.last_contact = now;
    if (account.is_closing)
    {
        deposits.push_back({.customer = customer, .closes = true}); // Until it is confirmed.
        return;
    }
    token_deposit deposit = this->limiter.lend(customer, now);
    if (deposit.tokens + deposit.refill > 0)
    {
        account.is_open = true;
        account.holder = pool_daemon;
        deposits.push_back(std::move(deposit));
    }
}

/// Records that an account has been closed, so that its tokens are spent or gone.
void customer_admission::close_account(const std::string& customer, core::time_point now)
{
    this->accounts.at(customer) = {};
    this->misplaced_accounts.erase(customer);
    this->limiter.set_lending(customer, false, now);
}

void customer_admission::close_ended_accounts(core::time_point now)
{
    for (auto& [customer, account] : this->accounts)
    {
        if (account.is_open && now - account.last_contact > account_end_time)
        {
            this->close_account(customer, now);
        }
    }
}

/// Deposits tokens of the customers that have this daemon as their pool daemon.
void customer_admission::deposit_own(core::time_point now)
{
    constexpr std::uint64_t own_process = 0;
    const std::vector<token_deposit> deposits = this->take_deposits(this->daemon_id, now);
    this->on_closed_accounts(this->daemon_id, this->on_deposits(this->daemon_id, own_process, deposits, now),
                             now);
}

void customer_admission::tick(core::time_point now)
{
    while (!this->pending.empty() && now - this->pending.begin()->second.sent > token_request_timeout)
    {
        this->finish(this->pending.begin()->first, false);
    }
    this->limiter.update(now);
    constexpr core::duration deposit_interval = std::chrono::milliseconds{100};
    if (now - this->last_deposit > deposit_interval)
    {
        this->last_deposit = now;
        this->close_ended_accounts(now);
        this->deposit_own(now);
    }
}

} // namespace laburnumreach::sidecar
