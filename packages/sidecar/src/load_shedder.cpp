#include "laburnumreach/sidecar/load_shedder.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

namespace
{

/// Longest call chain that is followed.
constexpr int max_depth = 10;

} // namespace

void load_shedder::configure(const routing_config& routes)
{
    this->destinations.clear();
    this->route_ranks.clear();
    routes.for_each_route(
        [&](const route& entry)
        {
            this->destinations[entry.name] = entry.destinations;
            std::set<priority_rank>& known = this->route_ranks[entry.name];
            if (!routes.has_customers())
            {
                known.insert(priority_rank_of(entry, nullptr));
            }
            else if (!entry.open)
            {
                for (const customer& owner : routes.customers())
                {
                    known.insert(priority_rank_of(entry, &owner));
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

void load_shedder::record_call_ratios(const std::string& daemon_id, std::span<const call_ratio> observed)
{
    if (observed.empty())
    {
        return;
    }
    std::map<route_pair, double>& own = this->observed_ratios[daemon_id];
    for (const call_ratio& entry : observed)
    {
        own.insert_or_assign({entry.parent_route, entry.child_route}, entry.calls_per_run);
    }
    std::map<route_pair, std::pair<double, double>> sums; // Of the values, and their number.
    for (const auto& [daemon, known] : this->observed_ratios)
    {
        for (const auto& [routes, calls] : known)
        {
            sums[routes].first += calls;
            sums[routes].second += 1;
        }
    }
    bool changed = false;
    for (const auto& [routes, sum] : sums)
    {
        constexpr double least_change = 0.02;
        double& known = this->ratios[routes.first][routes.second];
        const double mean = sum.first / sum.second;
        if (std::abs(mean - known) > least_change)
        {
            known = mean;
            changed = true;
        }
    }
    if (changed)
    {
        this->recompute_visits();
    }
}

std::vector<call_ratio> load_shedder::mean_call_ratios() const
{
    std::vector<call_ratio> found;
    for (const auto& [parent, children] : this->ratios)
    {
        for (const auto& [child, calls] : children)
        {
            found.push_back({.parent_route = parent, .child_route = child, .calls_per_run = calls});
        }
    }
    return found;
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
        if (factor * calls >= this->options.min_calls_per_request)
        {
            this->add_visits(child, factor * calls, depth + 1, total);
        }
    }
}

void load_shedder::recompute_visits()
{
    this->reached.clear();
    std::unordered_map<std::string, std::set<priority_rank, std::greater<>>> by_service;
    for (const auto& [name, places] : this->destinations)
    {
        visits called;
        this->add_called(name, 1.0, 0, called);
        const std::set<priority_rank>& own = this->route_ranks.at(name);
        for (const weighted_service& place : places)
        {
            by_service[place.service].insert(own.begin(), own.end());
        }
        for (const auto& [service, calls] : called)
        {
            if (calls >= this->options.min_calls_per_request)
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

void load_shedder::record_demand(const std::string& daemon_id, std::span<const route_demand> demand,
                                 core::time_point now)
{
    this->demands.insert_or_assign(daemon_id,
                                   demand_record{.demand = {demand.begin(), demand.end()}, .received = now});
}

void load_shedder::update(core::time_point now)
{
    if (now - this->stepped < this->options.update_interval)
    {
        return;
    }
    const double elapsed = std::min(core::to_seconds(now - this->stepped), 1.0);
    this->stepped = now;
    this->sum_instances();
    const auto asked = this->sum_demand(now);
    for (auto& [service, state] : this->services)
    {
        if (!state.available)
        {
            // Without an instance every request that needs the service would fail after the work above it.
            state.level = this->highest_level(service);
            continue;
        }
        this->correct(state, elapsed);
        const auto demand = asked.find(service);
        state.level = this->level_for(service, demand == asked.end() ? demand_by_rank{} : demand->second,
                                      this->admitted_rate(state));
    }
}

void load_shedder::sum_instances()
{
    for (auto& [service, state] : this->services)
    {
        state = {.correction = state.correction, .level = state.level};
    }
    for (const auto& [daemon, status] : this->instances)
    {
        service_state& state = this->services[status.service];
        const double capacity = status.slots * 1000.0 / std::max(status.run_ms, 1U);
        const double target = status.slots + capacity * core::to_seconds(this->options.target_queue_wait);
        state.available = true;
        state.slots += status.slots;
        state.calls += status.running + status.queued;
        state.capacity += capacity;
        // By capacity, since the slots of a slow instance stay free without being of use.
        state.weighted_load += capacity * (status.running + status.queued) / std::max(target, 1.0);
    }
}

std::unordered_map<std::string, load_shedder::demand_by_rank>
load_shedder::sum_demand(core::time_point now) const
{
    // Summed over the daemons first: there are many of them, and the chains are followed for each sum.
    std::map<std::pair<std::string, priority_rank>, double> by_route;
    for (const auto& [daemon, record] : this->demands)
    {
        if (now - record.received <= max_demand_age)
        {
            for (const route_demand& entry : record.demand)
            {
                by_route[{entry.route, entry.rank}] += entry.rate;
            }
        }
    }
    std::unordered_map<std::string, demand_by_rank> asked;
    for (const auto& [route_and_rank, rate] : by_route)
    {
        visits total;
        this->add_visits(route_and_rank.first, rate, 0, total);
        for (const auto& [service, calls] : total)
        {
            asked[service][route_and_rank.second] += calls;
        }
    }
    return asked;
}

/// Returns the load above the target, as a part of the target.
double load_shedder::excess_of(const service_state& state)
{
    return state.capacity > 0 ? state.weighted_load / state.capacity - 1.0 : 0.0;
}

/// Adapts the estimate of the capacity to the load seen. While nothing is shed, low load says nothing about
/// the capacity, and the estimate returns to the computed one.
void load_shedder::correct(service_state& state, double elapsed) const
{
    const double excess = excess_of(state);
    constexpr double largest_excess = 1.0; // A longer queue says no more about the capacity.
    double change = 0;
    if (excess > 0)
    {
        change = -this->options.gain_down * std::min(excess, largest_excess);
    }
    else if (state.level > 0)
    {
        change = -this->options.gain_up * excess;
    }
    else
    {
        constexpr double return_rate = 0.03; // Per second.
        change = return_rate * (1.0 - state.correction);
    }
    state.correction = std::clamp(state.correction + change * elapsed, this->options.min_correction,
                                  this->options.max_correction);
}

/// Returns the calls per second that a service can take, less those that wait too long already.
double load_shedder::admitted_rate(const service_state& state) const
{
    const double estimate = state.capacity * state.correction;
    const double target = state.slots + state.capacity * core::to_seconds(this->options.target_queue_wait);
    const double worked_off = excess_of(state) * target / core::to_seconds(this->options.backlog_drain_time);
    return std::max(estimate - worked_off, estimate * this->options.min_admitted_fraction);
}

/// Returns the level at which the demand that is left fits a rate of calls.
double load_shedder::level_for(const std::string& service, const demand_by_rank& demand, double rate) const
{
    const auto known = this->ranks.find(service);
    if (known == this->ranks.end())
    {
        return 0.0;
    }
    double level = static_cast<double>(known->second.size());
    for (auto rank = known->second.rbegin(); rank != known->second.rend(); ++rank, level -= 1.0)
    {
        const auto asked = demand.find(*rank);
        const double calls = asked == demand.end() ? 0.0 : asked->second;
        if (calls > rate)
        {
            return level - rate / calls;
        }
        rate -= calls;
    }
    return 0.0;
}

double load_shedder::highest_level(const std::string& service) const
{
    const auto known = this->ranks.find(service);
    return known == this->ranks.end() ? 0.0 : static_cast<double>(known->second.size());
}

bool load_shedder::should_shed(const route& requested, const std::string& service, priority_rank rank,
                               double draw) const
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
bool load_shedder::sheds_at(const std::string& service, double calls, priority_rank rank, double draw) const
{
    const double service_level = this->level(service);
    const auto known = this->ranks.find(service);
    if (calls < this->options.min_calls_per_request || service_level <= 0 || known == this->ranks.end())
    {
        return false;
    }
    // Requests less urgent than all known ones rank with the least urgent.
    const auto place = std::find_if(known->second.begin(), known->second.end(),
                                    [rank](priority_rank other) { return other <= rank; });
    const double position = static_cast<double>(std::distance(known->second.begin(), place));
    return draw < (service_level - position) * std::min(calls, 1.0);
}

bool load_shedder::makes_nested_calls(const std::string& route_name) const
{
    const auto children = this->ratios.find(route_name);
    return children != this->ratios.end() &&
           std::any_of(children->second.begin(), children->second.end(),
                       [this](const auto& child)
                       { return child.second >= this->options.min_calls_per_request; });
}

std::vector<std::pair<std::string, double>> load_shedder::active_levels() const
{
    std::vector<std::pair<std::string, double>> active;
    for (const auto& [service, state] : this->services)
    {
        if (state.level > 0)
        {
            active.emplace_back(service, state.level);
        }
    }
    return active;
}

double load_shedder::load(const std::string& service) const
{
    const auto known = this->services.find(service);
    return known == this->services.end() ? 0.0 : known->second.calls / std::max(known->second.slots, 1.0);
}

double load_shedder::level(const std::string& service) const
{
    const auto known = this->services.find(service);
    return known == this->services.end() ? 0.0 : known->second.level;
}

} // namespace laburnumreach::sidecar
