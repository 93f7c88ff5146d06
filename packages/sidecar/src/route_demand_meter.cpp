#include "laburnumreach/sidecar/route_demand_meter.hpp"

namespace laburnumreach::sidecar
{

std::vector<route_demand> route_demand_meter::rates() const
{
    std::vector<route_demand> found;
    found.reserve(this->smoothed.size());
    for (const auto& [key, rate] : this->smoothed)
    {
        found.push_back({.route = key.first, .rank = key.second, .rate = rate});
    }
    return found;
}

bool route_demand_meter::update(core::time_point now)
{
    const core::duration elapsed = now - this->measured;
    if (elapsed < interval)
    {
        return false;
    }
    const bool first = this->measured == core::time_point{};
    this->measured = now;
    for (const auto& [key, count] : this->counts)
    {
        this->smoothed.try_emplace(key, 0.0);
    }
    const double elapsed_s = core::to_seconds(elapsed);
    for (auto& [key, rate] : this->smoothed)
    {
        const auto counted = this->counts.find(key);
        const double seen = first || counted == this->counts.end() ? 0.0 : counted->second / elapsed_s;
        rate += weight * (seen - rate);
    }
    this->counts.clear();
    std::erase_if(this->smoothed, [](const auto& entry) { return entry.second < least_rate; });
    return true;
}

} // namespace laburnumreach::sidecar
