#include "laburnumreach/standin/arrival_plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laburnumreach::standin
{

namespace
{

/// Draws an index with a probability in proportion to its weight.
std::size_t draw_index(const std::vector<double>& weights, core::random_source& random)
{
    double left = random.uniform() * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t last_possible = 0;
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        if (weights[index] <= 0.0)
        {
            continue;
        }
        last_possible = index;
        if (left < weights[index])
        {
            return index;
        }
        left -= weights[index];
    }
    return last_possible;
}

} // namespace

arrival_plan::arrival_plan(const load_scenario& planned)
    : scenario(planned), random(planned.seed), tenant_rates(planned.tenants.size())
{
    // The rate is constant between these times, so its maximum is found at one of them.
    std::vector<core::duration> changes{core::duration::zero()};
    for (const load_scenario::phase& each : planned.phases)
    {
        changes.push_back(changes.back() + each.duration);
    }
    for (const load_scenario::tenant& each : planned.tenants)
    {
        for (const load_scenario::surge& surge : each.surges)
        {
            changes.emplace_back(surge.from);
            changes.emplace_back(surge.to);
        }
    }
    for (const core::duration change : changes)
    {
        double sum = 0.0;
        for (std::size_t tenant = 0; tenant < planned.tenants.size(); ++tenant)
        {
            sum += this->tenant_rate(tenant, change);
        }
        this->greatest_rate = std::max(this->greatest_rate, sum);
    }
}

std::optional<arrival_plan::arrival> arrival_plan::next()
{
    if (this->greatest_rate <= 0.0)
    {
        return std::nullopt;
    }
    // Thinning: arrivals of the greatest rate, of which a share in proportion to the current rate is kept.
    while (true)
    {
        const std::chrono::duration<double> gap{-std::log(1.0 - this->random.uniform()) /
                                                this->greatest_rate};
        this->now += std::chrono::duration_cast<core::duration>(gap);
        if (this->now >= this->scenario.duration())
        {
            return std::nullopt;
        }
        for (std::size_t tenant = 0; tenant < this->tenant_rates.size(); ++tenant)
        {
            this->tenant_rates[tenant] = this->tenant_rate(tenant, this->now);
        }
        const double rate = std::accumulate(this->tenant_rates.begin(), this->tenant_rates.end(), 0.0);
        if (this->random.chance(rate / this->greatest_rate))
        {
            return this->at(this->now);
        }
    }
}

arrival_plan::arrival arrival_plan::at(core::duration time)
{
    for (std::size_t tenant = 0; tenant < this->tenant_rates.size(); ++tenant)
    {
        this->tenant_rates[tenant] = this->tenant_rate(tenant, time);
    }
    arrival drawn{.at = time,
                  .phase = this->phase_at(time),
                  .tenant = draw_index(this->tenant_rates, this->random),
                  .kind = this->draw_kind(),
                  .duplicate_after = std::nullopt};
    drawn.duplicate_after = this->draw_duplicate(drawn.kind);
    return drawn;
}

std::size_t arrival_plan::phase_at(core::duration time) const
{
    core::duration end{0};
    for (std::size_t index = 0; index < this->scenario.phases.size(); ++index)
    {
        end += this->scenario.phases[index].duration;
        if (time < end)
        {
            return index;
        }
    }
    return this->scenario.phases.size() - 1;
}

double arrival_plan::tenant_rate(std::size_t tenant, core::duration time) const
{
    double shares = 0.0;
    for (const load_scenario::tenant& each : this->scenario.tenants)
    {
        shares += each.share;
    }
    const load_scenario::tenant& own = this->scenario.tenants[tenant];
    double rate =
        this->scenario.rate * own.share / shares * this->scenario.phases[this->phase_at(time)].multiplier;
    for (const load_scenario::surge& surge : own.surges)
    {
        if (time >= surge.from && time < surge.to)
        {
            rate *= surge.factor;
        }
    }
    return rate;
}

std::optional<core::duration> arrival_plan::draw_duplicate(std::size_t kind)
{
    if (this->scenario.kinds[kind].idempotent || !this->random.chance(this->scenario.duplicate_share))
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<core::duration>(this->scenario.duplicate_delay *
                                                      this->random.uniform());
}

std::size_t arrival_plan::draw_kind()
{
    std::vector<double> shares;
    shares.reserve(this->scenario.kinds.size());
    for (const load_scenario::request_kind& each : this->scenario.kinds)
    {
        shares.push_back(each.share);
    }
    return draw_index(shares, this->random);
}

} // namespace laburnumreach::standin
