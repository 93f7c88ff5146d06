#ifndef LABURNUMREACH_SIDECAR_REQUEST_ROUTER_HPP
#define LABURNUMREACH_SIDECAR_REQUEST_ROUTER_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/sidecar/body_memory.hpp"
#include "laburnumreach/sidecar/customer_admission.hpp"
#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/exchange.hpp"
#include "laburnumreach/sidecar/fleet_retry_settings.hpp"
#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_dispatcher.hpp"
#include "laburnumreach/sidecar/instance_placement.hpp"
#include "laburnumreach/sidecar/load_shedder.hpp"
#include "laburnumreach/sidecar/response_time_estimator.hpp"
#include "laburnumreach/sidecar/retry_advice.hpp"
#include "laburnumreach/sidecar/retry_budget.hpp"
#include "laburnumreach/sidecar/route_demand_meter.hpp"
#include "laburnumreach/sidecar/routed_call.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"
#include "laburnumreach/sidecar/sidecar_metrics.hpp"
#include "laburnumreach/sidecar/stop_deadline.hpp"
#include "laburnumreach/sidecar/weighted_round_robin.hpp"
#include "laburnumreach/sidecar/zone_demand_aggregator.hpp"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Routes the requests of external callers and of the upstream on this VM to instances, and returns the
/// responses. Decides on admission, shedding, placement and retries.
class request_router
{
public:
    struct options
    {
        std::string daemon_id;
        std::string zone;
        std::string service; ///< Service of the upstream on this VM.
        header_names names;
        fleet_retry_settings retries;
        customer_limiter_options limiter;
        const body_memory* memory = nullptr; ///< Null for no limit.
    };

    request_router(options initial_settings, instance_dispatcher& local_dispatcher, event_log& log,
                   sidecar_metrics& metrics);

    /// Starts processing a completely received request.
    void handle(const std::shared_ptr<exchange>& request);

    void configure(std::shared_ptr<const routing_config> next);

    /// Returns the active configuration; null before the first one.
    const std::shared_ptr<const routing_config>& routes() const noexcept { return this->config; }

    void add_link(const std::shared_ptr<peer_link>& link) { this->placement.add_link(link); }

    /// Forgets what a daemon that left the fleet reported.
    void forget_reports(const std::string& daemon_id);

    /// Removes the link to a daemon that holds no call.
    void remove_link(const std::string& daemon_id) { this->placement.remove_daemon(daemon_id); }

    /// Applies the outcome of a call. Calls are named by the id that their last send had.
    void on_reply(reply_message reply);
    void on_call_lost(std::uint64_t send_id);
    void on_call_stalled(std::uint64_t send_id);
    void on_status(const std::string& daemon_id, const instance_status& status);

    /// Records the demand and the tokens that a probe of another daemon carries.
    void record_probe(const member_record& sender, const probe_message& probe);

    /// Returns the demand to report to daemons of a zone.
    /// @returns the demand at this daemon for its own zone; for another zone the total of the own zone, or no
    ///          value if other daemons report it
    std::optional<demand_report> demand_report_for(const std::string& receiving_zone) const;

    /// Sets whether this daemon reports the total demand of its zone to other zones. A few daemons of each
    /// zone do.
    void set_reports_zone_demand(bool value) { this->reports_zone_demand = value; }

    /// Ends calls past their deadline and retries the placement of waiting ones. Call it every few
    /// milliseconds.
    void tick(core::time_point now);

    /// Refuses new requests of callers from now on. Calls that the instance beside this daemon makes while it
    /// runs a request still pass if they are likely to end before this daemon.
    void refuse_new_calls() { this->refusing_new_calls = true; }

    /// Sets when this daemon ends. From now on, a request of a caller is refused if its run is likely to take
    /// longer than until then, and what is passed on must be answered before.
    void set_end(core::time_point end) { this->stop_end.set(end); }

    /// Ends all calls, since the daemon ends: with the statement that it has not run if that is certain. From
    /// now on, every request is refused.
    void end_all_calls();

    std::size_t open_calls() const noexcept { return this->calls.size(); }

    /// Sets the number of daemons in the fleet, this one included.
    void set_daemon_count(std::size_t count);

    /// Replaces the retry settings.
    void set_retry_settings(const fleet_retry_settings& retries) { this->settings.retries = retries; }

    customer_admission& admission() noexcept { return this->admissions; }
    load_shedder& shedder() noexcept { return this->overload_shedder; }

    /// Returns the number of nested calls by route since the last call of this function, and resets it.
    std::unordered_map<std::string, std::uint32_t> take_nested_calls()
    {
        return std::exchange(this->nested_calls, {});
    }

private:
    /// Longest wait for an available instance.
    static constexpr core::duration placement_timeout = std::chrono::milliseconds{400};
    /// Maximum number of daemons a call is sent to if each replies that the call was not started.
    static constexpr std::size_t max_placements = 6;

    void request_token(const std::string& daemon_id, const token_request_message& request);
    void start_call(const std::shared_ptr<exchange>& request, const route& matched, const customer* owner,
                    core::time_point now);
    double urgency_of(const route& matched) const;
    bool must_refuse_for_stop(const exchange& request, const route& matched, core::time_point now) const;
    bool may_be_nested(const exchange& request, const route& matched, core::time_point now) const;
    std::optional<core::duration> response_time_of(const route& matched) const;
    core::duration run_time_of(const route& matched) const;
    core::time_point deadline_of(const exchange& request, const route& matched, core::time_point now) const;
    const std::string* choose_daemon(const routed_call& call) const;
    bool try_place(routed_call& call);
    void send(routed_call& call, const std::string& daemon_id);
    routed_call* find_sent(std::uint64_t send_id);
    void place_or_wait(routed_call& call);
    void retry_or_fail(routed_call& call, bool may_have_run, std::string_view reason);
    void respond(routed_call& call, http_response reply, std::string_view outcome);
    void refuse_call(routed_call& call, int status, std::string_view reason, core::duration retry_after = {});
    void refuse_request(exchange& request, int status, std::string_view reason,
                        core::duration retry_after = {});
    core::duration retry_delay(core::duration latency_objective)
    {
        return advised_retry_delay(latency_objective, this->random.uniform());
    }
    void on_caller_disconnected(std::uint64_t id);
    void update_reachable();
    void cancel_at_daemon(routed_call& call);
    std::string forwarded_fields(const http::request_head& head, const customer* owner) const;

    options settings;
    instance_dispatcher& dispatcher;
    event_log& events;
    sidecar_metrics& counters;
    core::random_source random;
    instance_placement placement;
    std::shared_ptr<const routing_config> config;
    std::unordered_map<std::uint64_t, routed_call> calls;
    /// Ids of calls by the id of their last send. Every send has an id of its own, higher than all before, so
    /// that a reply belongs to one send and a receiver knows from an id whether it got the call.
    std::unordered_map<std::uint64_t, std::uint64_t> calls_by_send;
    std::set<std::pair<core::time_point, std::uint64_t>> by_deadline;
    std::set<std::uint64_t> unplaced; ///< Ids of calls that wait for an available instance.
    std::unordered_map<std::string, retry_budget> retry_budgets;
    std::unordered_map<std::string, weighted_round_robin> round_robins; ///< By route name.
    std::unordered_map<std::string, std::uint32_t> nested_calls;
    customer_admission admissions;
    load_shedder overload_shedder;
    route_demand_meter demand_meter;
    zone_demand_aggregator own_zone_demand;
    demand_report own_zone_total; ///< Total demand of the own zone, as of the last measurement.
    bool reports_zone_demand = true;
    std::size_t daemon_count = 0; ///< Zero before it is known.
    std::uint64_t next_call_id = 1;
    std::uint64_t next_send_id = 1;
    std::unordered_map<std::string, response_time_estimator> response_times; ///< By route name.
    bool refusing_new_calls = false;
    bool ended = false; ///< All calls were ended, since this daemon ends.
    stop_deadline stop_end;
};

} // namespace laburnumreach::sidecar

#endif
