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
        customer_bucket bucket;
        if (const auto known = this->buckets.extract(entry.name))
        {
            bucket = known.mapped();
        }
        else if (const auto former = this->former_buckets.extract(entry.name))
        {
            bucket = former.mapped();
        }
        else
        {
            bucket.tokens = this->options.full_at_start ? entry.burst * this->share() : 0.0;
            bucket.last_refill = now;
        }
        bucket.rate = entry.rate_per_second * this->options.headroom;
        bucket.burst = entry.burst * this->options.headroom;
        bucket.tokens = std::min(bucket.tokens, this->max_tokens(bucket));
        next.emplace(entry.name, bucket);
    }
    this->former_buckets.merge(this->buckets);
    this->buckets = std::move(next);
    // One that is full again by now is like a new one.
    std::erase_if(this->former_buckets,
                  [now](const auto& entry)
                  {
                      const customer_bucket& bucket = entry.second;
                      return !bucket.lends &&
                             core::to_seconds(now - bucket.last_refill) * bucket.rate > bucket.burst;
                  });
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

/// Adds the refill since the last call, without that of the lent time.
void customer_limiter::refill(customer_bucket& bucket, core::time_point now) const
{
    const core::time_point end =
        std::max(now, bucket.last_refill); // The caller's time may be a little older.
    const core::time_point lent_from = std::clamp(bucket.lent_from, bucket.last_refill, end);
    const core::time_point lent_until = std::clamp(bucket.lent_until, lent_from, end);
    const core::duration own_time = end - bucket.last_refill - (lent_until - lent_from);
    bucket.tokens += core::to_seconds(own_time) * bucket.rate * this->share();
    bucket.tokens = std::min(bucket.tokens, this->max_tokens(bucket));
    bucket.last_refill = end;
}

/// Returns the maximum number of tokens that this daemon may hold. If it does not lend, it may hold one in
/// any case, since a fraction of a token admits no request.
double customer_limiter::max_tokens(const customer_bucket& bucket) const
{
    return bucket.lends ? this->kept_tokens(bucket) : std::max(bucket.burst * this->share(), 1.0);
}

void customer_limiter::set_lending(const std::string& name, bool lends, core::time_point now)
{
    auto found = this->buckets.find(name);
    if (found == this->buckets.end())
    {
        found = this->former_buckets.find(name);
        if (found == this->former_buckets.end())
        {
            return;
        }
    }
    customer_bucket& bucket = found->second;
    this->refill(bucket, now); // Up to the former limit.
    bucket.lends = lends;
    bucket.tokens = std::min(bucket.tokens, this->max_tokens(bucket));
    if (!lends)
    {
        bucket.lent_until = now;
    }
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

token_deposit customer_limiter::lend(const std::string& name, core::time_point now)
{
    customer_bucket& bucket = this->buckets.at(name);
    this->refill(bucket, now);
    customer_bucket lending = bucket;
    const double surplus = std::max(0.0, bucket.tokens - this->kept_tokens(bucket));
    lending.tokens -= surplus;
    const double refill = this->lend_refill(lending, now);
    if (surplus + refill < min_deposit)
    {
        return {.customer = name};
    }
    lending.lends = true;
    bucket = lending;
    return {.customer = name, .tokens = surplus, .refill = refill};
}

/// Lends the refill of the time from which the bucket is full.
/// @returns the number of tokens
double customer_limiter::lend_refill(customer_bucket& bucket, core::time_point now) const
{
    const double rate = bucket.rate * this->share();
    const double missing = std::max(0.0, this->kept_tokens(bucket) - bucket.tokens);
    const double lent_seconds =
        std::clamp(2 * min_deposit / rate, core::to_seconds(min_lent_time), core::to_seconds(max_lent_time));
    const bool was_lent = now < bucket.lent_until;
    if (missing >= rate * lent_seconds || (was_lent && missing > 0))
    {
        return 0.0; // The refill is needed here.
    }
    const core::time_point start = was_lent ? bucket.lent_until : now + core::from_seconds(missing / rate);
    const core::time_point end = now + core::from_seconds(lent_seconds);
    if (start >= end)
    {
        return 0.0;
    }
    bucket.lent_from = was_lent ? bucket.lent_from : start;
    bucket.lent_until = end;
    return core::to_seconds(end - start) * rate;
}

double customer_limiter::lent_share(const std::string& name) const
{
    const auto found = this->buckets.find(name);
    return found == this->buckets.end()
               ? 0.0
               : found->second.burst * this->share() - this->kept_tokens(found->second);
}

double customer_limiter::rate_share(const std::string& name) const
{
    const auto found = this->buckets.find(name);
    return found == this->buckets.end() ? 0.0 : found->second.rate * this->share();
}

double customer_limiter::reserve_fraction(const std::string& name) const
{
    const auto found = this->buckets.find(name);
    return found == this->buckets.end() ? 0.0 : found->second.reserve;
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
