#include "laburnumreach/sidecar/load_shedder.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

namespace
{

/// Longest call chain that is followed.
constexpr int max_depth = 10;

} // namespace

void load_shedder::configure(const fleet_routes& routes)
{
    this->destinations.clear();
    this->route_ranks.clear();
    routes.for_each_route(
        [&](const route& entry)
        {
            this->destinations[entry.name] = entry.destinations;
            std::set<urgency>& known = this->route_ranks[entry.name];
            if (!routes.has_customers())
            {
                known.insert(urgency_of(entry, nullptr));
            }
            else if (!entry.open)
            {
                for (const customer& owner : routes.customers())
                {
                    known.insert(urgency_of(entry, &owner));
                }
            }
        });
    this->recompute_visits();
}

void load_shedder::record_status(const std::string& daemon_id, const instance_status& status)
{
    if (status.service.empty() || !status.accepts_work)
    {
        this->instances.erase(daemon_id);
        return;
    }
    this->instances[daemon_id] = status;
}

void load_shedder::record_ratios(std::span<const call_ratio> observed)
{
    bool changed = false;
    for (const call_ratio& entry : observed)
    {
        double& known = this->ratios[entry.parent_route][entry.child_route];
        constexpr double weight = 0.2; // Smooths over the reports of several daemons.
        constexpr double least_change = 0.02;
        const double next = known == 0 ? entry.calls_per_run : known + weight * (entry.calls_per_run - known);
        changed = changed || std::abs(next - known) > least_change;
        known = next;
    }
    if (changed)
    {
        this->recompute_visits();
    }
}

void load_shedder::add_visits(const std::string& route_name, double factor, int depth, visits& total) const
{
    const auto places = this->destinations.find(route_name);
    if (places == this->destinations.end() || depth > max_depth)
    {
        return;
    }
    double weights = 0;
    for (const weighted_service& place : places->second)
    {
        weights += place.weight;
    }
    for (const weighted_service& place : places->second)
    {
        total[place.service] += weights > 0 ? factor * place.weight / weights : 0;
    }
    this->add_called(route_name, factor, depth, total);
}

void load_shedder::add_called(const std::string& route_name, double factor, int depth, visits& total) const
{
    const auto children = this->ratios.find(route_name);
    if (children == this->ratios.end())
    {
        return;
    }
    for (const auto& [child, calls] : children->second)
    {
        if (factor * calls >= this->options.least_calls)
        {
            this->add_visits(child, factor * calls, depth + 1, total);
        }
    }
}

void load_shedder::recompute_visits()
{
    this->reached.clear();
    std::unordered_map<std::string, std::set<urgency, std::greater<>>> by_service;
    for (const auto& [name, places] : this->destinations)
    {
        visits called;
        this->add_called(name, 1.0, 0, called);
        const std::set<urgency>& own = this->route_ranks.at(name);
        for (const weighted_service& place : places)
        {
            by_service[place.service].insert(own.begin(), own.end());
        }
        for (const auto& [service, calls] : called)
        {
            if (calls >= this->options.least_calls)
            {
                by_service[service].insert(own.begin(), own.end());
            }
        }
        this->reached.emplace(name, std::move(called));
    }
    this->ranks.clear();
    for (const auto& [service, values] : by_service)
    {
        this->ranks[service].assign(values.begin(), values.end());
    }
}

void load_shedder::update(core::time_point now)
{
    if (now - this->stepped < this->options.step)
    {
        return;
    }
    this->stepped = now;
    struct sums
    {
        double load = 0;
        double slots = 0;
    };
    std::unordered_map<std::string, sums> by_service;
    for (const auto& [daemon, status] : this->instances)
    {
        sums& total = by_service[status.service];
        total.load += status.running + status.queued;
        total.slots += status.slots;
    }
    for (auto& [service, level] : this->levels)
    {
        // Without an instance every request that needs the service would fail after the work above it.
        const auto total = by_service.find(service);
        const bool available = total != by_service.end();
        level = available ? this->next_level(service, level,
                                             total->second.load / std::max(total->second.slots, 1.0))
                          : this->highest_level(service);
        by_service.erase(service);
    }
    for (const auto& [service, total] : by_service)
    {
        this->levels.emplace(service, 0.0);
    }
}

double load_shedder::highest_level(const std::string& service) const
{
    const auto known = this->ranks.find(service);
    return known == this->ranks.end() ? 0.0 : static_cast<double>(known->second.size());
}

double load_shedder::next_level(const std::string& service, double level, double load)
{
    this->loads[service] = load;
    const double excess = load - this->options.target_load;
    const double gain = excess > 0 ? this->options.gain_up : this->options.gain_down;
    const double change = std::clamp(gain * excess, -this->options.max_step, this->options.max_step);
    return std::clamp(level + change, 0.0, this->highest_level(service));
}

bool load_shedder::sheds(const route& requested, const std::string& service, urgency rank, double draw) const
{
    if (this->sheds_at(service, 1.0, rank, draw))
    {
        return true;
    }
    const auto called = this->reached.find(requested.name);
    return called != this->reached.end() &&
           std::any_of(called->second.begin(), called->second.end(),
                       [&](const auto& entry)
                       { return this->sheds_at(entry.first, entry.second, rank, draw); });
}

/// @param calls calls per request; requests that seldom reach the service are seldom turned away for it
bool load_shedder::sheds_at(const std::string& service, double calls, urgency rank, double draw) const
{
    const double service_level = this->level(service);
    const auto known = this->ranks.find(service);
    if (calls < this->options.least_calls || service_level <= 0 || known == this->ranks.end())
    {
        return false;
    }
    // Requests less urgent than all known ones rank with the least urgent.
    const auto place = std::find_if(known->second.begin(), known->second.end(),
                                    [rank](urgency other) { return other <= rank; });
    const double position = static_cast<double>(std::distance(known->second.begin(), place));
    return draw < (service_level - position) * std::min(calls, 1.0);
}

bool load_shedder::makes_calls(const std::string& route_name) const
{
    const auto children = this->ratios.find(route_name);
    return children != this->ratios.end() &&
           std::any_of(children->second.begin(), children->second.end(),
                       [this](const auto& child) { return child.second >= this->options.least_calls; });
}

std::vector<std::pair<std::string, double>> load_shedder::active_levels() const
{
    std::vector<std::pair<std::string, double>> active;
    std::copy_if(this->levels.begin(), this->levels.end(), std::back_inserter(active),
                 [](const auto& entry) { return entry.second > 0; });
    return active;
}

double load_shedder::load(const std::string& service) const
{
    const auto known = this->loads.find(service);
    return known == this->loads.end() ? 0.0 : known->second;
}

double load_shedder::level(const std::string& service) const
{
    const auto known = this->levels.find(service);
    return known == this->levels.end() ? 0.0 : known->second;
}

} // namespace laburnumreach::sidecar
