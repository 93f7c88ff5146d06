#include "laburnumreach/sidecar/route_demand_meter.hpp"

namespace laburnumreach::sidecar
{

std::vector<route_demand> route_demand_meter::rates() const
{
    std::vector<route_demand> found;
    found.reserve(this->smoothed_rates.size());
    for (const auto& [key, rate] : this->smoothed_rates)
    {
        found.push_back({.route = key.first, .rank = key.second, .rate = rate});
    }
    return found;
}

bool route_demand_meter::update(core::time_point now)
{
    const core::duration elapsed = now - this->last_measurement;
    if (elapsed < measurement_interval)
    {
        return false;
    }
    const bool first = this->last_measurement == core::time_point{};
    this->last_measurement = now;
    for (const auto& [key, count] : this->counts)
    {
        this->smoothed_rates.try_emplace(key, 0.0);
    }
    const double elapsed_s = core::to_seconds(elapsed);
    for (auto& [key, rate] : this->smoothed_rates)
    {
        const auto counted = this->counts.find(key);
        const double seen = first || counted == this->counts.end() ? 0.0 : counted->second / elapsed_s;
        rate += smoothing_weight * (seen - rate);
    }
    this->counts.clear();
    std::erase_if(this->smoothed_rates, [](const auto& entry) { return entry.second < min_rate; });
    return true;
}

} // namespace laburnumreach::sidecar
