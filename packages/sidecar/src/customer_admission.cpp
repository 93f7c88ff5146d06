#include "laburnumreach/sidecar/customer_admission.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace laburnumreach::sidecar
{

void customer_admission::configure(std::span<const customer> customers, core::time_point now)
{
    this->limiter.configure(customers, now);
    this->pool.remove_if([this](const std::string& name) { return !this->limiter.is_limited(name); });
    this->assign_homes();
}

void customer_admission::deposit(std::span<const customer_tokens> given)
{
    for (const customer_tokens& entry : given)
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
        this->assign_homes();
    }
}

/// Chooses the daemon that holds the unused tokens of each customer: the one with the highest hash, so that
/// few customers move when a daemon comes or goes.
void customer_admission::assign_homes()
{
    this->homes.clear();
    this->customers_of.clear();
    this->limiter.for_each_customer(
        [this](const std::string& customer)
        {
            const std::uint64_t seed = XXH3_64bits(customer.data(), customer.size());
            const std::string& home =
                *std::max_element(this->daemons.begin(), this->daemons.end(),
                                  [seed](const std::string& one, const std::string& other)
                                  {
                                      return XXH3_64bits_withSeed(one.data(), one.size(), seed) <
                                             XXH3_64bits_withSeed(other.data(), other.size(), seed);
                                  });
            this->homes.emplace(customer, home);
            this->customers_of[home].push_back(customer);
        });
}

void customer_admission::admit(const std::string& customer, double urgency, core::time_point now,
                               decision decided)
{
    if (this->limiter.try_charge(customer, urgency, now))
    {
        decided(true);
        return;
    }
    const std::string& home = this->homes.at(customer);
    if (home == this->daemon_id)
    {
        decided(this->withdraw(customer, urgency));
        return;
    }
    const auto refused = this->refusals.find(customer);
    if (refused != this->refusals.end() && now < refused->second.until && urgency <= refused->second.urgency)
    {
        decided(false);
        return;
    }
    const std::uint64_t id = this->next_id++;
    this->waiting.emplace(
        id, waiting_request{
                .customer = customer, .urgency = urgency, .asked = now, .decided = std::move(decided)});
    this->ask_home(home, {.id = id, .customer = customer, .urgency = urgency});
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
    const auto found = this->waiting.find(grant.id);
    if (found == this->waiting.end())
    {
        return; // Too late; the token is lost, which the limit allows.
    }
    if (!grant.granted)
    {
        refusal& last = this->refusals[found->second.customer];
        last = {.urgency = found->second.urgency, .until = found->second.asked + refusal_cache_time};
    }
    this->finish(grant.id, grant.granted);
}

void customer_admission::finish(std::uint64_t id, bool admitted)
{
    const auto node = this->waiting.extract(id);
    node.mapped().decided(admitted);
}

std::vector<customer_tokens> customer_admission::take_surplus(const std::string& home, core::time_point now)
{
    std::vector<customer_tokens> given;
    const auto found = this->customers_of.find(home);
    if (found == this->customers_of.end())
    {
        return given;
    }
    for (const std::string& name : found->second)
    {
        const double tokens = this->limiter.take_surplus(name, now);
        if (tokens > 0)
        {
            given.push_back({.customer = name, .tokens = tokens});
        }
    }
    return given;
}

void customer_admission::tick(core::time_point now)
{
    while (!this->waiting.empty() && now - this->waiting.begin()->second.asked > token_request_timeout)
    {
        this->finish(this->waiting.begin()->first, false);
    }
    this->limiter.update(now);
    constexpr core::duration pool_interval = std::chrono::milliseconds{100};
    if (now - this->pooled > pool_interval)
    {
        this->pooled = now;
        this->deposit(this->take_surplus(this->daemon_id, now));
    }
}

} // namespace laburnumreach::sidecar
