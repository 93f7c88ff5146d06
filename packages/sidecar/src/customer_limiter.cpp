#include "laburnumreach/sidecar/customer_limiter.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

void customer_limiter::configure(std::span<const customer> customers, core::time_point now)
{
    std::unordered_map<std::string, account> next;
    for (const customer& entry : customers)
    {
        if (entry.rate_per_second <= 0)
        {
            continue;
        }
        const auto known = this->accounts.find(entry.name);
        account limited = known == this->accounts.end() ? account{} : known->second;
        if (known == this->accounts.end())
        {
            limited.tokens = this->options.full_at_start ? entry.burst * this->share() : 0.0;
            limited.refilled = now;
        }
        limited.rate = entry.rate_per_second * this->options.headroom;
        limited.burst = entry.burst * this->options.headroom;
        limited.tokens = std::min(limited.tokens, limited.burst * this->share());
        next.emplace(entry.name, limited);
    }
    this->accounts = std::move(next);
}

void customer_limiter::record_demand(const std::string& daemon_id, std::span<const customer_demand> demand,
                                     core::time_point now)
{
    report& known = this->reported[daemon_id];
    known.received = now;
    for (const customer_demand& entry : demand)
    {
        known.demands.insert_or_assign(entry.customer, entry);
    }
}

void customer_limiter::refill(account& limited, core::time_point now) const
{
    limited.tokens += core::to_seconds(now - limited.refilled) * limited.rate * this->share();
    // What is not taken as surplus in time is lost.
    limited.tokens = std::min(limited.tokens, std::max(limited.burst * this->share(), 1.0));
    limited.refilled = now;
}

bool customer_limiter::try_charge(const std::string& name, double urgency, core::time_point now)
{
    const auto found = this->accounts.find(name);
    if (found == this->accounts.end())
    {
        return true;
    }
    account& limited = found->second;
    limited.arrivals += 1;
    this->refill(limited, now);
    if (limited.tokens < 1 + (1.0 - urgency) * limited.reserve * this->kept_tokens(limited))
    {
        return false;
    }
    limited.tokens -= 1;
    return true;
}

void customer_limiter::refund(const std::string& name)
{
    const auto found = this->accounts.find(name);
    if (found != this->accounts.end())
    {
        found->second.tokens += 1;
    }
}

/// Returns the tokens that this daemon keeps for itself: none where its share holds less than one, since
/// parts of a token serve nobody.
double customer_limiter::kept_tokens(const account& limited) const
{
    const double kept = kept_share * limited.burst * this->share();
    return kept < 1.0 ? 0.0 : kept;
}

double customer_limiter::take_surplus(const std::string& name, core::time_point now)
{
    account& limited = this->accounts.at(name);
    this->refill(limited, now);
    const double surplus = limited.tokens - this->kept_tokens(limited);
    if (surplus < least_surplus)
    {
        return 0.0;
    }
    limited.tokens -= surplus;
    return surplus;
}

double customer_limiter::pool_capacity(const std::string& name) const
{
    const auto found = this->accounts.find(name);
    if (found == this->accounts.end())
    {
        return 0.0;
    }
    // Together with what the daemons keep, the burst.
    const account& limited = found->second;
    const bool kept = kept_share * limited.burst >= static_cast<double>(this->daemons);
    return kept ? (1.0 - kept_share) * limited.burst : limited.burst;
}

double customer_limiter::pool_reserve(const std::string& name) const
{
    const auto found = this->accounts.find(name);
    return found == this->accounts.end() ? 0.0 : found->second.reserve * this->pool_capacity(name);
}

std::vector<customer_demand> customer_limiter::demand() const
{
    std::vector<customer_demand> rates;
    for (const auto& [name, limited] : this->accounts)
    {
        rates.push_back({.customer = name, .rate = limited.demand});
    }
    return rates;
}

/// Returns the demand at all daemons that are heard.
double customer_limiter::total_demand(const std::string& name, const account& limited,
                                      core::time_point now) const
{
    double demand = limited.demand;
    for (const auto& [daemon, last] : this->reported)
    {
        const auto entry = last.demands.find(name);
        if (now - last.received <= max_demand_age && entry != last.demands.end())
        {
            demand += entry->second.rate;
        }
    }
    return demand;
}

/// Returns the part of the tokens that is kept for more urgent requests.
double customer_limiter::reserve_of(const account& limited, double demand) const
{
    constexpr double full_excess = 0.2; // Above reserve_threshold, where the whole reserve is kept.
    const double excess = demand / limited.rate - this->options.reserve_threshold;
    const double part = std::clamp(excess / full_excess, 0.0, 1.0);
    return part * this->options.urgent_reserve_fraction;
}

void customer_limiter::update(core::time_point now)
{
    if (now - this->measured < measure_interval)
    {
        return;
    }
    const double elapsed = core::to_seconds(now - this->measured);
    const bool first = this->measured == core::time_point{};
    this->measured = now;
    for (auto& [name, limited] : this->accounts)
    {
        this->refill(limited, now);
        constexpr double time_constant = 1.0; // Seconds over which demand is smoothed.
        const double weight = std::min(elapsed / time_constant, 1.0);
        const double rate = first ? 0 : limited.arrivals / elapsed;
        limited.demand += weight * (rate - limited.demand);
        limited.arrivals = 0;
        limited.reserve = this->reserve_of(limited, this->total_demand(name, limited, now));
    }
}

} // namespace laburnumreach::sidecar
