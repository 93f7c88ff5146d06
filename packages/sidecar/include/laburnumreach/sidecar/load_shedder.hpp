#ifndef LABURNUMREACH_SIDECAR_LOAD_SHEDDER_HPP
#define LABURNUMREACH_SIDECAR_LOAD_SHEDDER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/priority_rank.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Settings of a load_shedder.
struct load_shedder_options
{
    /// Wait that a full service keeps at its instances, so that no slot idles while arrivals vary.
    core::duration target_queue_wait = std::chrono::milliseconds{30};
    /// Time in which calls that wait beyond that are worked off; shorter than it takes a caller's request to
    /// reach the end of its chain, the level would swing.
    core::duration backlog_drain_time = std::chrono::milliseconds{1500};
    /// Part of the capacity that is given to new calls however many wait: the queue serves the urgent ones
    /// first.
    double min_admitted_fraction = 0.7;
    /// Change of the correction per second and unit of load above the target.
    double gain_down = 0.1;
    /// The same below the target; larger, since load below the target is at most one.
    double gain_up = 0.3;
    /// Bounds of the correction of the estimated capacity.
    double min_correction = 0.3;
    double max_correction = 1.1;
    core::duration update_interval = std::chrono::milliseconds{100};
    /// Calls per request of a route from which on the called service counts for its admission.
    double min_calls_per_request = 0.05;
};

/// Decides at the entry which requests are turned away when a service on their way is overloaded.
/// Deterministic.
///
/// Load pattern: demand exceeds the slots of one service at the end of the call chains by a fifth for many
/// seconds, while the services that the requests address are nearly idle. A request turned away at the entry
/// frees all the calls that it would cause; one turned away at the end wastes what was done above it. So
/// each entry knows which services a route reaches, from call ratios that the daemons observe, and sheds by
/// priority, the least important routes that reach the service first.
///
/// The level is computed from the demand of all daemons and the capacity of the instances, since the load at
/// the end of a chain shows a decision only after half a second or more; control by the load alone overshoots
/// and then turns urgent requests away for seconds. The load corrects the estimate of the capacity.
class load_shedder
{
public:
    explicit load_shedder(const load_shedder_options& chosen = {}) : options(chosen) {}

    /// Applies the routes of a configuration.
    void configure(const routing_config& routes);

    /// Records the state of an instance; one that takes no work is removed.
    void record_status(const std::string& daemon_id, const instance_status& status);

    /// Removes an instance whose daemon left or cannot be reached.
    void remove_instance(const std::string& daemon_id) { this->instances.erase(daemon_id); }

    /// Records call ratios that a daemon observed, this one or another; those that it does not name are
    /// unchanged.
    /// @param daemon_id the daemon, or the source of ratios that were observed before this process started
    void record_call_ratios(const std::string& daemon_id, std::span<const call_ratio> observed);

    /// Returns the call ratios over all daemons.
    std::vector<call_ratio> mean_call_ratios() const;

    /// Records the requests that reach a daemon, this one or another; replaces its former report.
    void record_demand(const std::string& daemon_id, std::span<const route_demand> demand,
                       core::time_point now);

    /// Adapts the levels. Call it often; steps are taken when due.
    void update(core::time_point now);

    /// Decides on a request.
    /// @param service destination chosen for it
    /// @param rank urgency of the request
    /// @param draw a number in [0, 1), random for each request
    /// @returns whether the request is turned away
    bool should_shed(const route& requested, const std::string& service, priority_rank rank,
                     double draw) const;

    /// Returns whether runs of a route are known to make calls of their own.
    bool makes_nested_calls(const std::string& route_name) const;

    /// Returns the services that shed, with their levels.
    std::vector<std::pair<std::string, double>> active_levels() const;

    /// Returns the shed level of a service; zero when none is shed.
    double level(const std::string& service) const;

    /// Returns the calls that run or wait for each usable slot of a service, as of the last step.
    double load(const std::string& service) const;

private:
    /// Calls per request, by service.
    using visits = std::unordered_map<std::string, double>;

    /// Calls per second that a service is asked for, most urgent first.
    using demand_by_rank = std::map<priority_rank, double>;

    /// State of one service over its instances.
    struct service_state
    {
        double slots = 0;
        double calls = 0;    ///< That run or wait.
        double capacity = 0; ///< Calls per second with all slots in use.
        /// Load as a part of the target, times the capacity, summed over the instances.
        double weighted_load = 0;
        double correction = 1.0; ///< Factor on the capacity, from the load seen.
        double level = 0;
        bool available = false;
    };

    /// Demands that one daemon reported.
    struct demand_record
    {
        std::vector<route_demand> demand;
        core::time_point received{};
    };

    bool sheds_at(const std::string& service, double calls, priority_rank rank, double draw) const;
    double highest_level(const std::string& service) const;
    void sum_instances();
    std::unordered_map<std::string, demand_by_rank> sum_demand(core::time_point now) const;
    static double excess_of(const service_state& state);
    void correct(service_state& state, double elapsed) const;
    double admitted_rate(const service_state& state) const;
    double level_for(const std::string& service, const demand_by_rank& demand, double rate) const;
    void recompute_visits();
    void add_called(const std::string& route_name, double factor, int depth, visits& total) const;
    void add_visits(const std::string& route_name, double factor, int depth, visits& total) const;

    load_shedder_options options;
    std::unordered_map<std::string, std::vector<weighted_service>> destinations; ///< By route name.
    std::unordered_map<std::string, std::set<priority_rank>>
        route_ranks;                                        ///< Of callers' requests, by route name.
    std::map<std::string, instance_status> instances;       ///< By daemon.
    using route_pair = std::pair<std::string, std::string>; ///< Parent and child.
    std::unordered_map<std::string, std::map<route_pair, double>> observed_ratios; ///< By daemon.
    /// Mean over the daemons, from parent to child.
    std::unordered_map<std::string, std::unordered_map<std::string, double>> ratios;
    std::unordered_map<std::string, visits> reached; ///< Through calls of its runs, by route name.
    std::unordered_map<std::string, std::vector<priority_rank>> ranks; ///< By service, least urgent first.
    std::unordered_map<std::string, service_state> services;           ///< By name.
    std::unordered_map<std::string, demand_record> demands;            ///< By daemon.
    core::time_point stepped{};
};

} // namespace laburnumreach::sidecar

#endif
