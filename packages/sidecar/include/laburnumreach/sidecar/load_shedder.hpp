#ifndef LABURNUMREACH_SIDECAR_LOAD_SHEDDER_HPP
#define LABURNUMREACH_SIDECAR_LOAD_SHEDDER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/fleet_routes.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/urgency.hpp"

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
    /// Calls that run or wait for each usable slot, above which a service sheds.
    double target_load = 1.0;
    /// Change of the shed level for each step and unit of load above the target.
    double gain_up = 0.25;
    /// The same below the target; lower, so that admission returns without overshoot.
    double gain_down = 0.12;
    /// Largest change of the level in one step.
    double max_step = 0.15;
    core::duration step = std::chrono::milliseconds{100};
    /// Calls per request of a route from which on the called service counts for its admission.
    double least_calls = 0.05;
};

/// Decides at the entry which requests are turned away when a service on their way is overloaded.
/// Deterministic.
///
/// Load pattern: demand exceeds the slots of one service at the end of the call chains by a fifth for many
/// seconds, while the services that the requests address are nearly idle. A request turned away at the entry
/// frees all the calls that it would cause; one turned away at the end wastes what was done above it. So
/// each entry knows which services a route reaches, from call ratios that the daemons observe, and sheds by
/// priority, the least important routes that reach the service first.
class load_shedder
{
public:
    explicit load_shedder(const load_shedder_options& chosen = {}) : options(chosen) {}

    /// Applies the routes of a configuration.
    void configure(const fleet_routes& routes);

    /// Records the state of an instance; one that takes no work is removed.
    void record_status(const std::string& daemon_id, const instance_status& status);

    /// Removes an instance whose daemon left or cannot be reached.
    void forget(const std::string& daemon_id) { this->instances.erase(daemon_id); }

    /// Records observed call ratios.
    void record_ratios(std::span<const call_ratio> ratios);

    /// Adapts the levels. Call it often; steps are taken when due.
    void update(core::time_point now);

    /// Decides on a request.
    /// @param service destination chosen for it
    /// @param rank urgency of the request
    /// @param draw a number in [0, 1), random for each request
    /// @returns whether the request is turned away
    bool sheds(const route& requested, const std::string& service, urgency rank, double draw) const;

    /// Returns whether runs of a route are known to make calls of their own.
    bool makes_calls(const std::string& route_name) const;

    /// Returns the services that shed, with their levels.
    std::vector<std::pair<std::string, double>> active_levels() const;

    /// Returns the shed level of a service; zero when none is shed.
    double level(const std::string& service) const;

    /// Returns the calls that run or wait for each usable slot of a service, as of the last step.
    double load(const std::string& service) const;

private:
    /// Calls per request, by service.
    using visits = std::unordered_map<std::string, double>;

    bool sheds_at(const std::string& service, double calls, urgency rank, double draw) const;
    double highest_level(const std::string& service) const;
    double next_level(const std::string& service, double level, double load);
    void recompute_visits();
    void add_called(const std::string& route_name, double factor, int depth, visits& total) const;
    void add_visits(const std::string& route_name, double factor, int depth, visits& total) const;

    load_shedder_options options;
    std::unordered_map<std::string, std::vector<weighted_service>> destinations; ///< By route name.
    std::unordered_map<std::string, std::set<urgency>> route_ranks; ///< Of callers' requests, by route name.
    std::map<std::string, instance_status> instances;               ///< By daemon.
    std::unordered_map<std::string, std::unordered_map<std::string, double>> ratios; ///< Parent to child.
    std::unordered_map<std::string, visits> reached; ///< Through calls of its runs, by route name. ///< By
                                                     ///< route name.
    std::unordered_map<std::string, std::vector<urgency>> ranks; ///< By service, least urgent first.
    std::unordered_map<std::string, double> levels;              ///< By service.
    std::unordered_map<std::string, double> loads;               ///< By service.
    core::time_point stepped{};
};

} // namespace laburnumreach::sidecar

#endif
