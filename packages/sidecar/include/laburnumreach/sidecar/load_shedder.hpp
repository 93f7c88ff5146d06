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
    /// Queueing delay to maintain at the instances of a saturated service, so that no slot is idle while the
    /// arrival rate varies.
    core::duration target_queue_wait = std::chrono::milliseconds{30};
    /// Time in which the queue beyond the target is drained. The shed level would oscillate if this were
    /// shorter than a request takes to reach the end of its call chain.
    core::duration backlog_drain_time = std::chrono::milliseconds{1500};
    /// Fraction of the capacity that is always available to new calls, however long the queue is: the queue
    /// serves the most urgent calls first.
    double min_admitted_fraction = 0.7;
    /// Decrease of the capacity correction per second, for each unit of load above the target, relative
    /// to the target.
    double gain_down = 0.1;
    /// Increase of the correction per second, for each unit of load below the target. Larger than gain_down,
    /// since the load can be at most one unit below the target.
    double gain_up = 0.3;
    /// Bounds of the factor that corrects the estimated capacity.
    double min_correction = 0.3;
    double max_correction = 1.1;
    core::duration update_interval = std::chrono::milliseconds{100};
    /// Minimum calls per request at which a service is considered in the admission of a route.
    double min_calls_per_request = 0.05;
};

/// Decides at the entry which requests to reject when a service in their call chain is overloaded.
/// Deterministic.
///
/// Load pattern: for many seconds, demand exceeds the slots of one service at the end of the call chains by a
/// fifth, while the services that the requests address are nearly idle. Rejecting a request at the entry
/// avoids all the calls that it would cause; rejecting one at the end of the chain wastes the work already
/// done for it. So each entry derives the services that a route reaches from the call ratios observed by
/// the daemons, and sheds by priority, starting with the least important routes that reach the service.
///
/// The shed level is computed by feed-forward, from the demand at all daemons and the capacity of the
/// instances. Feedback from the load alone would overshoot and reject urgent requests for seconds, since a
/// decision takes half a second or more to affect the load at the end of a chain. The load corrects the
/// capacity estimate.
class load_shedder
{
public:
    explicit load_shedder(const load_shedder_options& chosen = {}) : options(chosen) {}

    /// Applies the routes of a configuration.
    void configure(const routing_config& routes);

    /// Records the state of a daemon's instance; removes the instance if it accepts no work.
    void record_status(const std::string& daemon_id, const instance_status& status);

    /// Removes the instance of a daemon that is unreachable.
    void remove_instance(const std::string& daemon_id) { this->instances.erase(daemon_id); }

    /// Forgets all that a daemon reported, after it left. Call ratios that no other daemon observed keep
    /// their last mean.
    void remove_daemon(const std::string& daemon_id);

    /// Records call ratios observed by this or another daemon. Ratios that are not listed keep their value.
    /// @param daemon_id the daemon, or another source for ratios observed before this process started
    void record_call_ratios(const std::string& daemon_id, std::span<const call_ratio> observed);

    /// Returns the call ratios averaged over all daemons.
    std::vector<call_ratio> mean_call_ratios();

    /// Records the demand at this or another daemon; replaces that daemon's previous report.
    void record_demand(const std::string& daemon_id, std::span<const route_demand> demand,
                       core::time_point now);

    /// Updates the shed levels if the update interval has passed. Call it often.
    void update(core::time_point now);

    /// Decides whether to reject a request.
    /// @param service destination chosen for the request
    /// @param rank priority rank of the request
    /// @param draw a random number in [0, 1), drawn for each request
    bool should_shed(const route& requested, const std::string& service, priority_rank rank,
                     double draw) const;

    /// Returns whether requests of a route are known to make nested calls.
    bool makes_nested_calls(const std::string& route_name) const;

    /// Returns the services with a shed level above zero, and their levels.
    std::vector<std::pair<std::string, double>> active_levels() const;

    /// Returns the shed level of a service: the number of priority ranks that are shed, least urgent first.
    /// The fractional part is the share of requests to shed in the next rank; zero means that nothing is
    /// shed.
    double level(const std::string& service) const;

    /// Returns the running and queued calls per usable slot of a service, as of the last update.
    double load(const std::string& service) const;

private:
    /// Calls per request, by service.
    using calls_by_service = std::unordered_map<std::string, double>;

    /// Demand for a service in calls per second, most urgent rank first.
    using demand_by_rank = std::map<priority_rank, double>;

    /// State of one service, summed over its instances.
    struct service_state
    {
        double slots = 0;
        double calls = 0;    ///< Running or queued.
        double capacity = 0; ///< Calls per second with all slots in use.
        /// Sum over the instances of the load relative to its target, weighted by capacity.
        double weighted_load = 0;
        double correction = 1.0; ///< Factor on the capacity, from the observed load.
        double level = 0;
        bool available = false;
    };

    /// The last demand report of one daemon.
    struct daemon_report
    {
        std::vector<route_demand> demand;
        core::time_point received{};
    };

    void update_mean_ratios();
    bool sheds_for_service(const std::string& service, double calls, priority_rank rank, double draw) const;
    double highest_level(const std::string& service) const;
    void sum_instances();
    std::unordered_map<std::string, demand_by_rank> sum_demand(core::time_point now) const;
    static double excess_load(const service_state& state);
    void update_correction(service_state& state, double elapsed) const;
    double admitted_rate(const service_state& state) const;
    double level_for(const std::string& service, const demand_by_rank& demand, double rate) const;
    void recompute_reached_services();
    void add_nested_calls(const std::string& route_name, double factor, int depth,
                          calls_by_service& total) const;
    void add_route_calls(const std::string& route_name, double factor, int depth,
                         calls_by_service& total) const;

    load_shedder_options options;
    std::unordered_map<std::string, std::vector<weighted_service>> destinations; ///< By route name.
    std::unordered_map<std::string, std::set<priority_rank>>
        caller_ranks;                                       ///< Ranks of callers' requests, by route name.
    std::map<std::string, instance_status> instances;       ///< By daemon.
    using route_pair = std::pair<std::string, std::string>; ///< Parent and child.
    std::unordered_map<std::string, std::map<route_pair, double>> observed_ratios; ///< By daemon.
    bool ratios_changed = false; ///< The means are not updated yet.
    /// Means over the daemons, by parent and child route.
    std::unordered_map<std::string, std::unordered_map<std::string, double>> ratios;
    std::unordered_map<std::string, calls_by_service> nested_calls; ///< Calls per request, by route name.
    std::unordered_map<std::string, std::vector<priority_rank>>
        ranks_by_service;                                    ///< By service, least urgent first.
    std::unordered_map<std::string, service_state> services; ///< By name.
    std::unordered_map<std::string, daemon_report> demands;  ///< By daemon.
    core::time_point last_update{};
};

} // namespace laburnumreach::sidecar

#endif
