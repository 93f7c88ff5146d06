#include "laburnumreach/sidecar/load_shedder.hpp"

#include <algorithm>
#include <utility>

namespace laburnumreach::sidecar
{

namespace
{

/// Maximum depth of a call chain that is followed; bounds the recursion if call ratios form a cycle.
constexpr int max_depth = 10;

} // namespace

void load_shedder::configure(const routing_config& routes)
{
    this->destinations.clear();
    this->caller_ranks.clear();
    routes.for_each_route(
        [&](const route& entry)
        {
            this->destinations[entry.name] = entry.destinations;
            std::set<priority_rank>& known = this->caller_ranks[entry.name];
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
    this->recompute_reached_services();
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
        const auto [known, inserted] =
            own.try_emplace({entry.parent_route, entry.child_route}, entry.calls_per_run);
        this->ratios_changed = this->ratios_changed || inserted || known->second != entry.calls_per_run;
        known->second = entry.calls_per_run;
    }
}

void load_shedder::remove_daemon(const std::string& daemon_id)
{
    this->instances.erase(daemon_id);
    this->demands.erase(daemon_id);
    this->ratios_changed = this->observed_ratios.erase(daemon_id) > 0 || this->ratios_changed;
}

void load_shedder::update_mean_ratios()
{
    if (!std::exchange(this->ratios_changed, false))
    {
        return;
    }
    std::map<route_pair, std::pair<double, double>> sums; // Sum and number of the values.
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
        constexpr double min_change = 0.02;
        double& known = this->ratios[routes.first][routes.second];
        const double mean = sum.first / sum.second;
        if (std::abs(mean - known) > min_change)
        {
            known = mean;
            changed = true;
        }
    }
    if (changed)
    {
        this->recompute_reached_services();
    }
}

std::vector<call_ratio> load_shedder::mean_call_ratios()
{
    this->update_mean_ratios();
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

void load_shedder::add_route_calls(const std::string& route_name, double factor, int depth,
                                   calls_by_service& total) const
{
    const auto destinations_of_route = this->destinations.find(route_name);
    if (destinations_of_route == this->destinations.end() || depth > max_depth)
    {
        return;
    }
    double weights = 0;
    for (const weighted_service& destination : destinations_of_route->second)
    {
        weights += destination.weight;
    }
    for (const weighted_service& destination : destinations_of_route->second)
    {
        total[destination.service] += weights > 0 ? factor * destination.weight / weights : 0;
    }
    this->add_nested_calls(route_name, factor, depth, total);
}

void load_shedder::add_nested_calls(const std::string& route_name, double factor, int depth,
                                    calls_by_service& total) const
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
            this->add_route_calls(child, factor * calls, depth + 1, total);
        }
    }
}

void load_shedder::recompute_reached_services()
{
    this->nested_calls.clear();
    std::unordered_map<std::string, std::set<priority_rank, std::greater<>>> by_service;
    for (const auto& [name, destinations_of_route] : this->destinations)
    {
        calls_by_service called;
        this->add_nested_calls(name, 1.0, 0, called);
        const std::set<priority_rank>& own = this->caller_ranks.at(name);
        for (const weighted_service& destination : destinations_of_route)
        {
            by_service[destination.service].insert(own.begin(), own.end());
        }
        for (const auto& [service, calls] : called)
        {
            if (calls >= this->options.min_calls_per_request)
            {
                by_service[service].insert(own.begin(), own.end());
            }
        }
        this->nested_calls.emplace(name, std::move(called));
    }
    this->ranks_by_service.clear();
    for (const auto& [service, values] : by_service)
    {
        this->ranks_by_service[service].assign(values.begin(), values.end());
    }
}

void load_shedder::record_demand(const std::string& daemon_id, std::span<const route_demand> demand,
                                 core::time_point now)
{
    this->demands.insert_or_assign(daemon_id,
                                   daemon_report{.demand = {demand.begin(), demand.end()}, .received = now});
}

void load_shedder::update(core::time_point now)
{
    if (now - this->last_update < this->options.update_interval)
    {
        return;
    }
    const double elapsed = std::min(core::to_seconds(now - this->last_update), 1.0);
    this->last_update = now;
    this->update_mean_ratios();
    this->sum_instances();
    const auto demand_by_service = this->sum_demand(now);
    for (auto& [service, state] : this->services)
    {
        if (!state.available)
        {
            // Without an instance, every request that needs the service would fail at the end of its chain,
            // and the work done before would be wasted.
            state.level = this->highest_level(service);
            continue;
        }
        this->update_correction(state, elapsed);
        const auto demand = demand_by_service.find(service);
        state.level =
            this->level_for(service, demand == demand_by_service.end() ? demand_by_rank{} : demand->second,
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
        // Weighted by capacity, since free slots of a slow instance add little capacity.
        state.weighted_load += capacity * (status.running + status.queued) / std::max(target, 1.0);
    }
}

std::unordered_map<std::string, load_shedder::demand_by_rank>
load_shedder::sum_demand(core::time_point now) const
{
    // Summed over the daemons first, so that the call chains are followed once per route and rank and not
    // once per daemon.
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
    std::unordered_map<std::string, demand_by_rank> demand_by_service;
    for (const auto& [route_and_rank, rate] : by_route)
    {
        calls_by_service total;
        this->add_route_calls(route_and_rank.first, rate, 0, total);
        for (const auto& [service, calls] : total)
        {
            demand_by_service[service][route_and_rank.second] += calls;
        }
    }
    return demand_by_service;
}

/// Returns the load above the target, relative to the target; negative below the target.
double load_shedder::excess_load(const service_state& state)
{
    return state.capacity > 0 ? state.weighted_load / state.capacity - 1.0 : 0.0;
}

/// Corrects the capacity estimate by the observed load. While nothing is shed, a low load gives no
/// information about the capacity, and the correction decays to one.
void load_shedder::update_correction(service_state& state, double elapsed) const
{
    const double excess = excess_load(state);
    constexpr double max_excess = 1.0; // A longer queue gives no further information.
    double change = 0;
    if (excess > 0)
    {
        change = -this->options.gain_down * std::min(excess, max_excess);
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

/// Returns the calls per second to admit to a service: its estimated capacity, less the rate at which the
/// queue beyond the target is drained.
double load_shedder::admitted_rate(const service_state& state) const
{
    const double estimate = state.capacity * state.correction;
    const double target = state.slots + state.capacity * core::to_seconds(this->options.target_queue_wait);
    const double drain_rate =
        excess_load(state) * target / core::to_seconds(this->options.backlog_drain_time);
    return std::max(estimate - drain_rate, estimate * this->options.min_admitted_fraction);
}

/// Returns the lowest shed level at which the remaining demand does not exceed a rate.
/// @param rate calls per second
double load_shedder::level_for(const std::string& service, const demand_by_rank& demand, double rate) const
{
    const auto known = this->ranks_by_service.find(service);
    if (known == this->ranks_by_service.end())
    {
        return 0.0;
    }
    double level = static_cast<double>(known->second.size());
    for (auto rank = known->second.rbegin(); rank != known->second.rend(); ++rank, level -= 1.0)
    {
        const auto rank_demand = demand.find(*rank);
        const double calls = rank_demand == demand.end() ? 0.0 : rank_demand->second;
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
    const auto known = this->ranks_by_service.find(service);
    return known == this->ranks_by_service.end() ? 0.0 : static_cast<double>(known->second.size());
}

bool load_shedder::should_shed(const route& requested, const std::string& service, priority_rank rank,
                               double draw) const
{
    if (this->sheds_for_service(service, 1.0, rank, draw))
    {
        return true;
    }
    const auto called = this->nested_calls.find(requested.name);
    return called != this->nested_calls.end() &&
           std::any_of(called->second.begin(), called->second.end(),
                       [&](const auto& entry)
                       { return this->sheds_for_service(entry.first, entry.second, rank, draw); });
}

/// Decides whether to reject a request because of the level of one service.
/// @param calls calls per request; below one, requests are rejected in proportion
bool load_shedder::sheds_for_service(const std::string& service, double calls, priority_rank rank,
                                     double draw) const
{
    const double service_level = this->level(service);
    const auto known = this->ranks_by_service.find(service);
    if (calls < this->options.min_calls_per_request || service_level <= 0 ||
        known == this->ranks_by_service.end())
    {
        return false;
    }
    // A rank below all known ranks is treated as the lowest known rank.
    const auto rank_iterator = std::find_if(known->second.begin(), known->second.end(),
                                            [rank](priority_rank other) { return other <= rank; });
    const double position = static_cast<double>(std::distance(known->second.begin(), rank_iterator));
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
