#include "laburnumreach/sidecar/customer_admission.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace laburnumreach::sidecar
{

void customer_admission::configure(std::span<const customer> customers, core::time_point now)
{
    this->limiter.configure(customers, now);
    this->pool.remove_if([this](const std::string& name) { return !this->limiter.is_limited(name); });
    std::erase_if(this->refusals,
                  [this](const auto& refused) { return !this->limiter.is_limited(refused.first); });
    this->assign_pool_daemons();
}

void customer_admission::deposit(std::span<const customer_tokens> surplus)
{
    for (const customer_tokens& entry : surplus)
    {
        this->pool.deposit(entry.customer, entry.tokens, this->limiter.pool_capacity(entry.customer));
    }
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
        });
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
        callback(this->withdraw(customer, urgency));
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

bool customer_admission::withdraw(const std::string& customer, double urgency)
{
    return this->pool.withdraw(customer, (1.0 - urgency) * this->limiter.pool_reserve(customer));
}

token_grant_message customer_admission::on_token_request(const token_request_message& request)
{
    return {.id = request.id, .granted = this->withdraw(request.customer, request.urgency)};
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

std::vector<customer_tokens> customer_admission::take_surplus(const std::string& pool_daemon,
                                                              core::time_point now)
{
    std::vector<customer_tokens> surplus;
    const auto found = this->customers_by_pool_daemon.find(pool_daemon);
    if (found == this->customers_by_pool_daemon.end())
    {
        return surplus;
    }
    for (const std::string& name : found->second)
    {
        const double tokens = this->limiter.take_surplus(name, now);
        if (tokens > 0)
        {
            surplus.push_back({.customer = name, .tokens = tokens});
        }
    }
    return surplus;
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
        this->deposit(this->take_surplus(this->daemon_id, now));
    }
}

} // namespace laburnumreach::sidecar
