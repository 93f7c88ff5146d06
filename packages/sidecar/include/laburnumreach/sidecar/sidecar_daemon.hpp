#ifndef LABURNUMREACH_SIDECAR_SIDECAR_DAEMON_HPP
#define LABURNUMREACH_SIDECAR_SIDECAR_DAEMON_HPP

#include "laburnumreach/config/sidecar_settings.hpp"
#include "laburnumreach/sidecar/body_memory.hpp"
#include "laburnumreach/sidecar/call_ratio_estimator.hpp"
#include "laburnumreach/sidecar/connection_limits.hpp"
#include "laburnumreach/sidecar/departure_memory.hpp"
#include "laburnumreach/sidecar/departure_register.hpp"
#include "laburnumreach/sidecar/fleet_state.hpp"
#include "laburnumreach/sidecar/http_listener.hpp"
#include "laburnumreach/sidecar/instance_dispatcher.hpp"
#include "laburnumreach/sidecar/instance_probe.hpp"
#include "laburnumreach/sidecar/peer_link.hpp"
#include "laburnumreach/sidecar/peer_server.hpp"
#include "laburnumreach/sidecar/platform_bindings.hpp"
#include "laburnumreach/sidecar/request_router.hpp"
#include "laburnumreach/sidecar/store_watcher.hpp"

#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace laburnumreach::sidecar
{

/// One sidecar process: owns and connects the listeners, the links to other daemons and the routing of calls.
/// All members are used by the traffic thread only; other threads use the post_ functions.
class sidecar_daemon
{
public:
    sidecar_daemon(config::sidecar_settings initial_settings, platform_bindings bindings, event_log& log);

    /// Opens the listeners.
    /// @throws boost::system::system_error when an address cannot be bound
    void open();

    /// Serves until a stop signal arrives and the open requests have ended, or the grace time is over.
    void run();

    /// Starts to stop, as SIGTERM does. Thread safe.
    void post_stop();

    /// Reads the settings file again and applies what may change while traffic runs; called for SIGHUP. A
    /// file with an error changes nothing. Traffic thread only.
    void reload();

    /// Reads the settings file. Set it before run().
    std::function<config::parse_result<config::sidecar_settings>()> load_settings;

    const config::sidecar_settings& active_settings() const noexcept { return this->settings; }

    /// Passes a configuration read from the store to the traffic thread. Thread safe.
    void post_config(stored_config loaded);

    /// Passes the members read from the store to the traffic thread. Thread safe.
    void post_members(std::vector<member_record> loaded);

    /// Passes call ratios that were published in the store before this daemon started to the traffic thread.
    /// Thread safe.
    void post_ratios(std::vector<call_ratio> loaded);

    /// Passes departures that an earlier process of this daemon wrote to the store to the traffic thread.
    /// Thread safe.
    void post_departures(std::vector<instance_departure> loaded);

    /// Passes the revision of the departures that were written to the store to the traffic thread. Thread
    /// safe.
    void post_departures_written(std::uint64_t revision);

    /// Passes whether the platform's store works to the traffic thread. Thread safe.
    void post_store_works(bool works);

    /// Passes the result of a store call to the traffic thread, for the metrics. Thread safe.
    void post_store_call(const store_call_report& report);

    /// Called about twice a second with this daemon's role in watching the store. Set it before run().
    std::function<void(store_watch_role)> store_watch_role_changed = [](store_watch_role) {};

    /// Called about twice a second, while this daemon has the primary role, with the call ratios of the whole
    /// fleet. Set it before run().
    std::function<void(std::span<const call_ratio>)> ratios_measured = [](std::span<const call_ratio>) {};

    /// Called with the departures to write to the store, and their revision, after each change. Set it before
    /// run().
    std::function<void(std::span<const instance_departure>, std::uint64_t revision)> departures_changed =
        [](std::span<const instance_departure>, std::uint64_t) {};

    const member_record& own_record() const noexcept { return this->fleet.own(); }

private:
    using handler = std::function<void(const std::shared_ptr<exchange>&)>;

    /// Limits of one HTTP address.
    struct http_limits
    {
        std::size_t max_connections = 0;
        std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
    };

    /// Announcement of a departure that is not answered yet.
    struct unacknowledged_departure
    {
        std::shared_ptr<exchange> request;
        std::uint64_t revision = 0; ///< In the departure_register.
        core::time_point received{};
    };

    /// Name of the store among the holders of departures; no daemon has it, since it is no host name.
    static constexpr const char* store_holder = "(store)";

    void open_http(std::optional<http_listener>& listener, const config::endpoint& address, handler handle,
                   const http_limits& limits);
    void count_limit(std::string_view limit);
    void wait_for_signal();
    void schedule_tick();
    void tick();
    void log_loop_delay(core::time_point now);
    void log_shedding();
    void check_connections(core::time_point now);
    void limit_memory(core::time_point now);
    void update_store_role();
    void announce_config();
    void sync_links();
    void forget_departed_daemons(core::time_point now);
    void update_daemon_count();
    bool apply_config(const std::string& document, const config_origin& origin);
    void on_control(const std::shared_ptr<exchange>& request);
    void on_ready(const std::shared_ptr<exchange>& request);
    void on_metrics(const std::shared_ptr<exchange>& request);
    void on_heartbeat(instance_heartbeat heartbeat);
    void on_instance_found(const instance_heartbeat& answer);
    void on_instance_changed();
    void refresh_own_status();
    void acknowledge(exchange& announcement) const;
    void acknowledge_departure(const std::shared_ptr<exchange>& announcement, const std::string& instance_id);
    void acknowledge_departures(core::time_point now);
    void share_departures();
    std::optional<departures_message> departures_for(const std::string& daemon_id) const;
    void on_departures(const member_record& sender, const departures_message& message);
    void recall_departures(std::span<const instance_departure> recalled, const std::string& source);
    void begin_stop();
    void continue_stop(core::time_point now);
    std::shared_ptr<peer_link_callbacks> make_link_callbacks();
    core::duration work_drain_limit() const;

    config::sidecar_settings settings;
    connection_limits connections;
    platform_bindings platform;
    event_log& events;
    body_memory memory; ///< Outlives the event loop, whose handlers own connections.
    asio::io_context io{1};
    asio::signal_set signals;
    asio::steady_timer timer;
    sidecar_metrics counters;
    instance_state instance;
    instance_probe probe;
    departure_register departures;          ///< Of the instances beside this daemon.
    departure_memory remembered_departures; ///< Of the instances beside other daemons.
    std::uint64_t shared_departures = 0;    ///< Revision that the other daemons and the store were told.
    std::vector<unacknowledged_departure> unacknowledged;
    fleet_state fleet;
    instance_dispatcher dispatcher;
    peer_server peers;
    request_router router;
    call_ratio_estimator ratio_estimator;
    std::vector<call_ratio> own_ratios; ///< As of the last measurement; each probe is answered with them.
    std::unordered_map<std::string, std::shared_ptr<peer_link>> links;
    std::set<std::string> departed; ///< Daemons with a link that no longer count in the shares of limits.
    std::shared_ptr<const peer_link_callbacks> link_callbacks;
    std::optional<http_listener> outbound;
    std::optional<http_listener> ready;
    std::optional<http_listener> control;
    std::optional<http_listener> metrics;
    std::optional<tcp_listener> peer_listener;
    bool store_works = false;
    std::optional<core::time_point> last_store_answer; ///< When the last store call succeeded.
    /// By daemon id: whether the store works there, according to the last probe.
    std::unordered_map<std::string, bool> store_works_at_peer;
    bool member_list_received = false; ///< The list of members was read from the store.
    std::optional<core::time_point> stop_requested;
    bool stop_announced = false;
    std::optional<core::time_point> departure_announced;
    core::time_point open_time{};
    core::time_point last_tick{};
    core::time_point last_measurement{};
    core::time_point last_connection_check{};
    core::time_point last_memory_check{};
    bool memory_was_short = false; ///< Whether the last check found no free memory.
    core::time_point last_broadcast{};
    instance_status last_broadcast_status;
};

} // namespace laburnumreach::sidecar

#endif
