#ifndef LABURNUMREACH_FLEET_FLEET_MODEL_HPP
#define LABURNUMREACH_FLEET_FLEET_MODEL_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/fleet/event_queue.hpp"
#include "laburnumreach/fleet/fleet_node.hpp"
#include "laburnumreach/fleet/fleet_options.hpp"
#include "laburnumreach/fleet/tenant_statistics.hpp"
#include "laburnumreach/quota/naive_counter.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumreach::fleet
{

/// What the daemons spent on control.
struct control_costs
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Estimated for a compact binary encoding with a signed envelope.
    core::duration borrower_time{0};
    core::duration lender_time{0};
};

/// A fleet with its network and platform in virtual time. The same seed gives the same run.
class fleet_model
{
public:
    explicit fleet_model(fleet_options settings);

    /// Runs for a virtual time.
    void run_for(core::duration time);

    /// Sets the requests per second that arrive at a daemon for a tenant (Poisson).
    void set_traffic(std::size_t node, std::size_t tenant, double rate);

    /// Ends a daemon without notice.
    void crash(std::size_t node);

    /// Starts a daemon that has ended.
    void restart(std::size_t node);

    /// Stops a daemon for a time during which its clock goes on.
    void pause(std::size_t node, core::duration time);

    /// Stops a daemon gracefully.
    void stop(std::size_t node);

    /// Puts a daemon into a network partition; group 0 is where all daemons start.
    void set_group(std::size_t node, int group) { this->nodes[node].group = group; }

    /// Sets whether a group reaches the platform.
    void set_platform_reachable(int group, bool reachable);

    /// Changes the faults of the network from now on.
    void set_faults(const fault_options& faults);

    /// Makes a new revision known to each daemon after a random time.
    /// @param slowest longest time
    /// @param skipped probability that a daemon misses it and learns only the next one
    void configure(quota::quota_revision revision, core::duration slowest, double skipped);

    /// Forgets the statistics and costs so far.
    void reset_statistics();

    std::size_t node_count() const { return this->nodes.size(); }
    std::size_t tenant_count() const { return this->tenants.size(); }
    const fleet_node& node(std::size_t index) const { return this->nodes[index]; }
    const tenant_statistics& statistics(std::size_t tenant) const { return this->tenants[tenant].statistics; }
    const control_costs& costs() const { return this->spent; }
    core::random_source& random() { return this->source; }
    const std::vector<std::string>& zone_names() const { return this->zones; }

    /// Returns the index of the daemon with authority in a zone.
    std::optional<std::size_t> lender_of(std::size_t zone) const;

    /// Returns the first violation of an invariant; empty if there was none.
    const std::string& violation() const { return this->first_violation; }

private:
    struct tenant_state
    {
        std::string name;
        tenant_statistics statistics;
        quota::naive_counter naive;     // baseline for wrongful refusals
        quota::naive_counter reference; // bound of the invariant
        std::int64_t most_rate = 0;     // greatest of the revisions so far
        std::int64_t most_burst = 0;
    };

    void start(fleet_node& node);
    void tick(std::size_t index, std::uint64_t life);
    void handle(fleet_node& node, const message& received);
    void send(const fleet_node& from, std::size_t to, const message& sent);
    void send_to_lender(const fleet_node& from, const quota::loan_request& request);
    void send_grant(const fleet_node& from, const quota::loan_grant& grant);
    void send_all(const fleet_node& from, const quota::lender::output& out);
    void send_promises(const fleet_node& from, const std::vector<quota::promise_request>& requests);
    void deliver(std::size_t to, const message& sent, core::duration hop);
    void poll_borrower(fleet_node& node);
    void wake(fleet_node& node, const std::vector<std::string>& tenant_names);
    void schedule_arrival(std::size_t index, std::size_t tenant);
    void arrive(std::size_t index, std::size_t tenant);
    void count(tenant_state& tenant, const quota::spend_decision& decision, bool naive_admitted);
    void platform_read(std::size_t index, std::uint64_t life);
    void platform_write(std::size_t index, std::uint64_t life, zone_record record, std::uint64_t if_version);
    void platform_call(std::size_t index, std::uint64_t life,
                       const std::function<std::function<void()>()>& effect);
    std::optional<std::size_t> find(const quota::daemon_ref& daemon) const;
    std::vector<std::string> zones_with_record() const;
    core::duration processor_time() const;
    core::duration jitter(core::duration base);
    bool running(const fleet_node& node) const;
    core::time_point local_now(const fleet_node& node) const { return node.clock.at(this->queue.now()); }
    void check();
    void check_parts(std::size_t tenant);
    void violate(std::string what);

    fleet_options options;
    core::random_source source;
    event_queue queue;
    std::vector<std::string> zones;
    std::vector<fleet_node> nodes;
    std::vector<tenant_state> tenants;
    std::vector<zone_record> records; // by zone
    std::shared_ptr<const quota::quota_revision> newest;
    std::vector<std::vector<std::pair<double, std::uint64_t>>>
        traffic;                          // rate and generation by node and tenant
    std::vector<bool> platform_reachable; // by group
    std::uint64_t next_request = 1;
    std::uint64_t next_incarnation = 1;
    control_costs spent;
    std::string first_violation;
};

} // namespace laburnumreach::fleet

#endif
