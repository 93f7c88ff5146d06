#include "laburnumreach/sidecar/customer_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumreach::sidecar
{

namespace
{

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

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
            limited.share = 1.0 / static_cast<double>(this->daemons);
            limited.tokens = this->options.full_at_start ? entry.burst * limited.share : 0.0;
            limited.refilled = now;
        }
        limited.rate = entry.rate_per_second * this->options.headroom;
        limited.burst = entry.burst * this->options.headroom;
        limited.tokens = std::min(limited.tokens, limited.burst * limited.share);
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
    // At least one request fits, or a small share of a small burst would admit nothing.
    const double capacity = std::max(limited.burst * limited.share, 1.0 + limited.reserve);
    limited.tokens += seconds(now - limited.refilled) * limited.rate * limited.share;
    limited.tokens = std::min(limited.tokens, capacity);
    limited.refilled = now;
}

bool customer_limiter::try_charge(const std::string& name, double leniency, core::time_point now)
{
    const auto found = this->accounts.find(name);
    if (found == this->accounts.end())
    {
        return true;
    }
    account& limited = found->second;
    limited.arrivals += 1;
    this->refill(limited, now);
    if (limited.tokens < 1 + (1.0 - leniency) * limited.reserve)
    {
        return false;
    }
    limited.tokens -= 1;
    return true;
}

std::vector<customer_demand> customer_limiter::demand() const
{
    std::vector<customer_demand> rates;
    for (const auto& [name, limited] : this->accounts)
    {
        rates.push_back({.customer = name, .rate = limited.told.front(), .share = limited.share});
    }
    return rates;
}

/// Takes over the measured demand as the one to tell if it moved far enough.
void customer_limiter::tell(account& limited)
{
    const double last = limited.told.front();
    std::shift_right(limited.told.begin(), limited.told.end(), 1);
    const bool moved = std::abs(limited.demand - last) > std::max(least_told_change, told_change * last);
    limited.told.front() = moved ? limited.demand : last;
}

/// Returns this daemon's part of what the daemons that are not heard leave over.
customer_limiter::division customer_limiter::divide(const std::string& name, const account& limited,
                                                    core::time_point now) const
{
    const double equal_share = 1.0 / static_cast<double>(this->daemons);
    double free_share = 1.0;
    const double heard_of = *std::min_element(limited.told.begin(), limited.told.end());
    double demand = heard_of;
    double heard = 1;
    std::size_t known = 1;
    for (const auto& [daemon, last] : this->reported)
    {
        ++known;
        const auto entry = last.demands.find(name);
        if (now - last.received <= report_lifetime)
        {
            demand += entry == last.demands.end() ? 0.0 : entry->second.rate;
            heard += 1;
        }
        else
        {
            free_share -= entry == last.demands.end() ? equal_share : entry->second.share;
        }
    }
    if (this->daemons > known)
    {
        free_share -= equal_share * static_cast<double>(this->daemons - known);
    }
    const double reserve = reserved_share * limited.rate * equal_share;
    return {.share = std::max(free_share, 0.0) * (heard_of + reserve) / (demand + reserve * heard),
            .demand = demand - heard_of + limited.demand};
}

/// Returns the tokens that are kept for more urgent requests.
double customer_limiter::reserve_of(const account& limited, double demand) const
{
    constexpr double full_excess = 0.2; // Above reserve_from, where the whole reserve is kept.
    const double excess = demand / limited.rate - this->options.reserve_from;
    const double part = std::clamp(excess / full_excess, 0.0, 1.0);
    return part * this->options.urgent_reserve * limited.burst * limited.share;
}

void customer_limiter::update(core::time_point now)
{
    if (now - this->measured < measure_interval)
    {
        return;
    }
    const double elapsed = seconds(now - this->measured);
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
        tell(limited);
        const division found = this->divide(name, limited, now);
        limited.share = found.share;
        limited.reserve = this->reserve_of(limited, found.demand);
    }
}

} // namespace laburnumreach::sidecar
