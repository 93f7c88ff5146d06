#include "laburnumreach/sidecar/customer_limiter.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

void customer_limiter::configure(std::span<const customer> customers, core::time_point now)
{
    std::unordered_map<std::string, customer_bucket> next;
    for (const customer& entry : customers)
    {
        if (entry.rate_per_second <= 0)
        {
            continue;
        }
        const auto known = this->buckets.find(entry.name);
        customer_bucket bucket = known == this->buckets.end() ? customer_bucket{} : known->second;
        if (known == this->buckets.end())
        {
            bucket.tokens = this->options.full_at_start ? entry.burst * this->share() : 0.0;
            bucket.last_refill = now;
        }
        bucket.rate = entry.rate_per_second * this->options.headroom;
        bucket.burst = entry.burst * this->options.headroom;
        bucket.tokens = std::min(bucket.tokens, bucket.burst * this->share());
        next.emplace(entry.name, bucket);
    }
    this->buckets = std::move(next);
}

void customer_limiter::record_demand(const std::string& daemon_id, std::span<const customer_demand> demand,
                                     core::time_point now)
{
    daemon_report& known = this->reports[daemon_id];
    known.received = now;
    for (const customer_demand& entry : demand)
    {
        known.demands.insert_or_assign(entry.customer, entry);
    }
}

void customer_limiter::refill(customer_bucket& bucket, core::time_point now) const
{
    bucket.tokens += core::to_seconds(now - bucket.last_refill) * bucket.rate * this->share();
    // Tokens beyond the share of the burst are lost unless they were taken as surplus before.
    bucket.tokens = std::min(bucket.tokens, std::max(bucket.burst * this->share(), 1.0));
    bucket.last_refill = now;
}

bool customer_limiter::try_charge(const std::string& name, double urgency, core::time_point now)
{
    const auto found = this->buckets.find(name);
    if (found == this->buckets.end())
    {
        return true;
    }
    customer_bucket& bucket = found->second;
    bucket.arrivals += 1;
    this->refill(bucket, now);
    if (bucket.tokens < 1 + (1.0 - urgency) * bucket.reserve * this->kept_tokens(bucket))
    {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void customer_limiter::refund(const std::string& name)
{
    const auto found = this->buckets.find(name);
    if (found != this->buckets.end())
    {
        found->second.tokens += 1;
    }
}

/// Returns the number of tokens that this daemon keeps for itself; zero if that is less than one, since a
/// fraction of a token admits no request.
double customer_limiter::kept_tokens(const customer_bucket& bucket) const
{
    const double kept = kept_fraction * bucket.burst * this->share();
    return kept < 1.0 ? 0.0 : kept;
}

double customer_limiter::take_surplus(const std::string& name, core::time_point now)
{
    customer_bucket& bucket = this->buckets.at(name);
    this->refill(bucket, now);
    const double surplus = bucket.tokens - this->kept_tokens(bucket);
    if (surplus < min_surplus)
    {
        return 0.0;
    }
    bucket.tokens -= surplus;
    return surplus;
}

double customer_limiter::pool_capacity(const std::string& name) const
{
    const auto found = this->buckets.find(name);
    if (found == this->buckets.end())
    {
        return 0.0;
    }
    // The pool and the tokens that the daemons keep add up to the burst.
    const customer_bucket& bucket = found->second;
    const bool kept = kept_fraction * bucket.burst >= static_cast<double>(this->daemons);
    return kept ? (1.0 - kept_fraction) * bucket.burst : bucket.burst;
}

double customer_limiter::pool_reserve(const std::string& name) const
{
    const auto found = this->buckets.find(name);
    return found == this->buckets.end() ? 0.0 : found->second.reserve * this->pool_capacity(name);
}

std::vector<customer_demand> customer_limiter::demand() const
{
    std::vector<customer_demand> rates;
    for (const auto& [name, bucket] : this->buckets)
    {
        rates.push_back({.customer = name, .rate = bucket.demand});
    }
    return rates;
}

/// Returns the sum of the demand at this daemon and of the recent reports of other daemons.
double customer_limiter::total_demand(const std::string& name, const customer_bucket& bucket,
                                      core::time_point now) const
{
    double demand = bucket.demand;
    for (const auto& [daemon, last] : this->reports)
    {
        const auto entry = last.demands.find(name);
        if (now - last.received <= max_demand_age && entry != last.demands.end())
        {
            demand += entry->second.rate;
        }
    }
    return demand;
}

/// Returns the fraction of the tokens to keep for more urgent requests.
double customer_limiter::reserve_of(const customer_bucket& bucket, double demand) const
{
    constexpr double full_excess = 0.2; // Excess above reserve_threshold at which the full reserve is kept.
    const double excess = demand / bucket.rate - this->options.reserve_threshold;
    const double fraction = std::clamp(excess / full_excess, 0.0, 1.0);
    return fraction * this->options.urgent_reserve_fraction;
}

void customer_limiter::update(core::time_point now)
{
    if (now - this->last_measurement < measurement_interval)
    {
        return;
    }
    const double elapsed = core::to_seconds(now - this->last_measurement);
    const bool first = this->last_measurement == core::time_point{};
    this->last_measurement = now;
    for (auto& [name, bucket] : this->buckets)
    {
        this->refill(bucket, now);
        constexpr double time_constant = 1.0; // Of the exponential smoothing, in seconds.
        const double weight = std::min(elapsed / time_constant, 1.0);
        const double rate = first ? 0 : bucket.arrivals / elapsed;
        bucket.demand += weight * (rate - bucket.demand);
        bucket.arrivals = 0;
        bucket.reserve = this->reserve_of(bucket, this->total_demand(name, bucket, now));
    }
}

} // namespace laburnumreach::sidecar
