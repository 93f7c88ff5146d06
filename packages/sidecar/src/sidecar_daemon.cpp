#include "laburnumreach/sidecar/sidecar_daemon.hpp"

#include "laburnumreach/core/wall_clock.hpp"
#include "laburnumreach/sidecar/http_status.hpp"

#include <algorithm>
#include <csignal>
#include <limits>
#include <sys/resource.h>

namespace laburnumreach::sidecar
{

namespace
{

/// Resolution of deadlines, queue expiry and probe times.
constexpr auto tick_interval = std::chrono::milliseconds{10};
constexpr core::duration connection_check_interval = std::chrono::milliseconds{500};
/// Time between two checks of the memory that messages take. In between, the allowance bounds what is read
/// from the instance.
constexpr core::duration memory_check_interval = std::chrono::milliseconds{100};
/// The same while more than a quarter of the memory is taken.
constexpr core::duration close_memory_check_interval = std::chrono::milliseconds{20};
constexpr core::duration measurement_interval = std::chrono::milliseconds{250};
/// Minimum time between two broadcasts of the instance's status under high load.
constexpr core::duration broadcast_interval = std::chrono::milliseconds{100};
/// Load per slot above which the status is broadcast without being requested.
constexpr double min_broadcast_load = 0.7;

/// Returns the number of descriptors that the process may open.
/// @param setting from the settings file; zero for none
std::size_t usable_descriptors(std::size_t setting)
{
    rlimit limit{};
    const bool known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const std::size_t system_limit = known ? limit.rlim_cur : std::numeric_limits<std::size_t>::max();
    constexpr std::size_t default_descriptors = 4096; // Where neither says anything.
    const std::size_t chosen =
        setting == 0 && !known ? default_descriptors : std::max(setting, std::size_t{1});
    return setting == 0 && known ? system_limit : std::min(chosen, system_limit);
}

member_record make_own_record(const config::sidecar_settings& settings)
{
    return {.daemon_id = settings.daemon_id,
            .started_ms = core::wall_clock_ms(),
            .address = settings.announced_address,
            .peer_port = settings.peers.port,
            .zone = settings.zone,
            .left = false};
}

} // namespace

sidecar_daemon::sidecar_daemon(config::sidecar_settings initial_settings, platform_bindings bindings,
                               event_log& log)
    : settings(std::move(initial_settings)),
      connections(divide_descriptors(usable_descriptors(this->settings.max_descriptors))),
      platform(std::move(bindings)),
      events(log),
      memory(this->settings.body_memory),
      signals(this->io),
      timer(this->io),
      instance(
          {.address = to_string(this->settings.upstream),
           .history = this->settings.first_start ? instance_history::complete : instance_history::partial,
           .process_start = core::boot_clock::now()}),
      probe(this->io,
            {.address = make_endpoint(this->settings.upstream.address, this->settings.upstream.port),
             .address_text = to_string(this->settings.upstream),
             .service = this->settings.service,
             .names = this->platform.headers},
            [this](const instance_heartbeat& answer) { this->on_instance_found(answer); }),
      fleet(make_own_record(this->settings)),
      dispatcher(
          this->io,
          {.instance_address = make_endpoint(this->settings.upstream.address, this->settings.upstream.port),
           .names = this->platform.headers,
           .drain_limit = this->work_drain_limit(),
           .memory = &this->memory},
          this->instance, log, this->counters),
      peers(this->dispatcher, this->fleet, log,
            {.ratios = [this] { return std::span<const call_ratio>{this->own_ratios}; },
             .on_probe =
                 [this](const member_record& sender, const probe_message& probe)
             {
                 this->store_works_at_peer.insert_or_assign(sender.daemon_id, probe.store_works);
                 this->router.record_probe(sender, probe);
             },
             .on_token_request = [this](const token_request_message& request)
             { return this->router.admission().on_token_request(request); },
             .on_limit = [this](std::string_view limit) { this->count_limit(limit); },
             .on_departures = [this](const member_record& sender, const departures_message& message)
             { this->on_departures(sender, message); }},
            {.max_connections = this->connections.peers, .memory = &this->memory}),
      router({.daemon_id = this->settings.daemon_id,
              .zone = this->settings.zone,
              .service = this->settings.service,
              .names = this->platform.headers,
              .retries = make_retry_settings(this->settings),
              .limiter = {.full_at_start = this->settings.first_start},
              .memory = &this->memory},
             this->dispatcher, log, this->counters),
      link_callbacks(this->make_link_callbacks())
{
    this->fleet.members_changed = [this] { this->sync_links(); };
    this->fleet.config_received = [this](const std::string& document, const config_origin& origin)
    { return this->apply_config(document, origin); };
}

std::shared_ptr<peer_link_callbacks> sidecar_daemon::make_link_callbacks()
{
    auto callbacks = std::make_shared<peer_link_callbacks>();
    callbacks->on_reply = [this](reply_message reply) { this->router.on_reply(std::move(reply)); };
    callbacks->on_call_lost = [this](std::uint64_t id) { this->router.on_call_lost(id); };
    callbacks->on_call_stalled = [this](std::uint64_t id) { this->router.on_call_stalled(id); };
    callbacks->on_status = [this](const std::string& daemon_id, const instance_status& status)
    { this->router.on_status(daemon_id, status); };
    callbacks->on_ratios = [this](const std::string& daemon_id, const std::vector<call_ratio>& ratios)
    { this->router.shedder().record_call_ratios(daemon_id, ratios); };
    callbacks->demand_report_for = [this](const std::string& zone)
    { return this->router.demand_report_for(zone); };
    callbacks->store_works = [this] { return this->store_works; };
    callbacks->take_tokens_for = [this](const std::string& daemon_id)
    { return this->router.admission().take_surplus(daemon_id, core::boot_clock::now()); };
    callbacks->on_token_grant = [this](const token_grant_message& grant)
    { this->router.admission().on_token_grant(grant); };
    callbacks->departures_for = [this](const std::string& daemon_id)
    { return this->departures_for(daemon_id); };
    callbacks->on_departures_held = [this](const std::string& daemon_id, std::uint64_t revision)
    { this->departures.confirm(daemon_id, revision); };
    return callbacks;
}

void sidecar_daemon::open()
{
    const http_limits small{.max_connections = this->connections.each_other,
                            .max_body_bytes = small_body_bytes};
    this->open_http(this->outbound, this->settings.outbound,
                    [this](const std::shared_ptr<exchange>& request) { this->router.handle(request); },
                    {.max_connections = this->connections.callers});
    this->open_http(
        this->ready, this->settings.ready,
        [this](const std::shared_ptr<exchange>& request) { this->on_ready(request); }, small);
    this->open_http(
        this->control, this->settings.control,
        [this](const std::shared_ptr<exchange>& request) { this->on_control(request); }, small);
    this->open_http(
        this->metrics, {.address = this->settings.outbound.address, .port = this->settings.metrics_port},
        [this](const std::shared_ptr<exchange>& request) { this->on_metrics(request); }, small);
    this->peer_listener.emplace(this->io, this->settings.peers,
                                [this](tcp::socket socket) { this->peers.accept(std::move(socket)); });
    this->signals.add(SIGTERM);
    this->signals.add(SIGINT);
    this->signals.add(SIGHUP);
    this->wait_for_signal();
    this->schedule_tick();
    this->open_time = core::boot_clock::now();
    this->events.state_event("started", {{"zone", this->settings.zone},
                                         {"service", this->settings.service},
                                         {"started_ms", std::to_string(this->own_record().started_ms)}});
}

void sidecar_daemon::run()
{
    this->io.run();
    this->events.state_event("stopped");
    this->events.flush();
}

void sidecar_daemon::open_http(std::optional<http_listener>& listener, const config::endpoint& address,
                               handler handle, const http_limits& limits)
{
    listener.emplace(
        this->io, address,
        server_context{.handle = std::move(handle),
                       .limits =
                           [this]
                       {
                           const auto& routes = this->router.routes();
                           return routes == nullptr ? caller_limits{} : routes->limits();
                       },
                       // At the limit, the wait for memory would be in vain.
                       .has_memory_for = [this](std::size_t) { return this->memory.free_bytes() > 0; },
                       .on_limit = [this](std::string_view limit) { this->count_limit(limit); },
                       .memory = &this->memory,
                       .max_body_bytes = limits.max_body_bytes,
                       .max_connections = limits.max_connections});
}

/// Records that a client met a limit.
void sidecar_daemon::count_limit(std::string_view limit)
{
    this->counters.count("client_limits_total", limit);
    this->events.request_event("client_limit", {{"limit", std::string{limit}}});
}

void sidecar_daemon::wait_for_signal()
{
    this->signals.async_wait(
        [this](const error_code& error, int signal)
        {
            if (error)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                this->reload();
            }
            else
            {
                this->begin_stop();
            }
            this->wait_for_signal();
        });
}

void sidecar_daemon::schedule_tick()
{
    this->timer.expires_after(tick_interval);
    this->timer.async_wait(
        [this](const error_code& error)
        {
            if (!error)
            {
                this->tick();
                this->schedule_tick();
            }
        });
}

void sidecar_daemon::tick()
{
    const core::time_point now = core::boot_clock::now();
    this->log_loop_delay(now);
    if (this->router.routes() != nullptr)
    {
        this->probe.tick(this->instance.needs_check(),
                         this->router.routes()->health_path(this->settings.service), now);
    }
    this->dispatcher.tick(now);
    this->peers.tick(now);
    for (const auto& [id, link] : this->links)
    {
        link->tick(now);
    }
    this->limit_memory(now);
    for (std::optional<http_listener>* listener :
         {&this->outbound, &this->ready, &this->control, &this->metrics})
    {
        (*listener)->tick(now);
    }
    this->refresh_own_status();
    this->router.tick(now);
    this->acknowledge_departures(now);
    if (now - this->last_measurement > measurement_interval)
    {
        this->last_measurement = now;
        this->log_shedding();
        this->ratio_estimator.add(this->dispatcher.take_run_starts(), this->router.take_nested_calls());
        this->own_ratios = this->ratio_estimator.ratios();
        this->router.shedder().record_call_ratios(this->settings.daemon_id, this->own_ratios);
    }
    this->check_connections(now);
    this->events.flush();
    if (this->stop_requested)
    {
        this->continue_stop(now);
    }
}

/// Passes the status of the own instance to the router and, after a change or under load, to other daemons.
void sidecar_daemon::refresh_own_status()
{
    const instance_status status = this->dispatcher.status();
    const core::time_point now = core::boot_clock::now();
    const bool changed = status.accepts_work != this->last_broadcast_status.accepts_work ||
                         status.service != this->last_broadcast_status.service ||
                         status.instance_id != this->last_broadcast_status.instance_id;
    const bool highly_loaded =
        std::max(load_per_slot(status), load_per_slot(this->last_broadcast_status)) > min_broadcast_load;
    this->router.on_status(this->settings.daemon_id, status);
    if (changed || (highly_loaded && now - this->last_broadcast > broadcast_interval))
    {
        this->last_broadcast = now;
        this->last_broadcast_status = status;
        this->peers.broadcast_status(status, changed);
    }
}

/// Logs a long delay between ticks, caused by a busy event loop or a suspended process.
void sidecar_daemon::log_loop_delay(core::time_point now)
{
    constexpr core::duration min_logged_delay = std::chrono::milliseconds{100};
    const core::duration delay = now - this->last_tick;
    if (this->last_tick != core::time_point{} && delay > min_logged_delay)
    {
        this->events.request_event("loop_delayed", {{"ms", core::milliseconds_text(delay)}});
    }
    this->last_tick = now;
}

/// Logs the shed level and the load of each service with a shed level above zero.
void sidecar_daemon::log_shedding()
{
    for (const auto& [service, level] : this->router.shedder().active_levels())
    {
        const double load = this->router.shedder().load(service);
        this->events.request_event(
            "shedding",
            {{"service", service}, {"level", std::to_string(level)}, {"load", std::to_string(load)}});
    }
}

/// Measures the memory of messages that is not reserved, and limits what is accepted while it is short.
void sidecar_daemon::limit_memory(core::time_point now)
{
    const bool is_close = this->memory.held_bytes() > this->settings.body_memory / 4;
    if (now - this->last_memory_check < (is_close ? close_memory_check_interval : memory_check_interval))
    {
        return;
    }
    this->last_memory_check = now;
    this->memory.update(this->dispatcher.response_bytes() + this->peers.held_bytes());
    this->dispatcher.allow_reading(this->memory.free_bytes(), this->memory.has_room_for_response(0));
    const bool is_short = this->memory.free_bytes() == 0;
    if (is_short != this->memory_was_short)
    {
        this->memory_was_short = is_short;
        this->counters.count("memory_short_total", is_short ? "begin" : "end");
        this->events.request_event(is_short ? "memory_short" : "memory_free",
                                   {{"held_bytes", std::to_string(this->memory.held_bytes())}});
    }
}

void sidecar_daemon::check_connections(core::time_point now)
{
    if (now - this->last_connection_check < connection_check_interval)
    {
        return;
    }
    this->last_connection_check = now;
    this->update_store_role();
    this->forget_departed_daemons(now);
    this->outbound->set_max_connections(
        max_caller_connections(this->connections, this->links.size(), this->dispatcher.max_connections()));
    for (std::optional<http_listener>* listener :
         {&this->outbound, &this->ready, &this->control, &this->metrics})
    {
        (*listener)->check_timeouts(now);
    }
}

bool sidecar_daemon::apply_config(const std::string& document, const config_origin& origin)
{
    const std::string source{to_string(origin.source)};
    const auto decoded = this->platform.decode_config(document);
    if (!decoded)
    {
        this->events.state_event(
            "config_refused",
            {{"source", source}, {"peer", origin.peer}, {"cause", decoded.error().message}});
        return false;
    }
    this->router.configure(*decoded);
    this->counters.count("configs_applied_total", source);
    this->counters.set("config_version", static_cast<double>((*decoded)->version()));
    this->events.state_event("config_applied", {{"version", std::to_string((*decoded)->version())},
                                                {"source", source},
                                                {"peer", origin.peer},
                                                {"max_age_ms", core::milliseconds_text(origin.max_age)}});
    for (const std::string& warning : (*decoded)->warnings())
    {
        this->events.state_event("config_warning", {{"detail", warning}});
    }
    this->announce_config();
    return true;
}

void sidecar_daemon::post_config(stored_config loaded)
{
    asio::post(this->io, [this, loaded = std::move(loaded)]
               { this->fleet.offer_config(loaded.version, loaded.document, loaded.origin); });
}

void sidecar_daemon::post_store_call(const store_call_report& report)
{
    asio::post(this->io,
               [this, report]
               {
                   this->counters.count("store_calls_total", report.call);
                   if (report.failed)
                   {
                       this->counters.count("store_call_failures_total", report.call);
                   }
                   else
                   {
                       this->last_store_answer = report.ended;
                   }
               });
}

void sidecar_daemon::post_ratios(std::vector<call_ratio> loaded)
{
    asio::post(this->io, [this, loaded = std::move(loaded)]
               { this->router.shedder().record_call_ratios("store", loaded); });
}

void sidecar_daemon::post_store_works(bool works)
{
    asio::post(this->io, [this, works] { this->store_works = works; });
}

void sidecar_daemon::on_control(const std::shared_ptr<exchange>& request)
{
    const announcement message =
        this->platform.decode_announcement(request->head.method, request->head.target, request->body);
    if (const auto* unusable = std::get_if<invalid_announcement>(&message))
    {
        this->events.state_event("announcement_refused", {{"cause", unusable->reason}});
        request->respond({.status = http_status::bad_request});
        return;
    }
    if (const auto* heartbeat = std::get_if<instance_heartbeat>(&message))
    {
        this->on_heartbeat(*heartbeat);
        if (heartbeat->draining && heartbeat->address == to_string(this->settings.upstream))
        {
            this->acknowledge_departure(request, heartbeat->id);
            return;
        }
        this->acknowledge(*request);
        return;
    }
    const std::string& leaving = std::get<instance_deregistration>(message).id;
    this->probe.cancel();
    if (this->instance.deregister(leaving, core::boot_clock::now(), core::wall_clock_ms()))
    {
        this->on_instance_changed();
    }
    this->acknowledge_departure(request, leaving);
}

void sidecar_daemon::on_heartbeat(instance_heartbeat heartbeat)
{
    heartbeat.received = this->last_tick; // It may have waited since then, if the process was suspended.
    if (heartbeat.draining)
    {
        this->probe.cancel();
    }
    const bool was_confirmed = !this->instance.unconfirmed();
    if (this->instance.apply(heartbeat))
    {
        this->on_instance_changed();
    }
    if (const auto& unconfirmed = this->instance.unconfirmed())
    {
        this->probe.rearm(was_confirmed);
        if (was_confirmed)
        {
            const auto& known = this->instance.instance();
            this->events.state_event("instance_unconfirmed",
                                     {{"instance", unconfirmed->id},
                                      {"started_ms", std::to_string(unconfirmed->started_ms)},
                                      {"sequence", std::to_string(unconfirmed->sequence)},
                                      {"known", known ? known->id : ""},
                                      {"leaving", this->instance.is_leaving() ? "yes" : "no"}});
        }
    }
}

/// Applies the instance's answer to a health check.
void sidecar_daemon::on_instance_found(const instance_heartbeat& answer)
{
    if (this->instance.confirm(answer))
    {
        this->on_instance_changed();
    }
}

void sidecar_daemon::on_instance_changed()
{
    const auto& known = this->instance.instance();
    this->events.state_event("instance_changed",
                             {{"instance", known ? known->id : ""},
                              {"started_ms", std::to_string(known ? known->started_ms : 0)},
                              {"service", known ? known->service : ""},
                              {"slots", std::to_string(known ? known->slots : 0)},
                              {"leaving", this->instance.is_leaving() ? "yes" : "no"}});
    this->dispatcher.on_instance_changed();
    this->refresh_own_status();
    if (this->instance.accepts_work() && this->departures.withdraw(known->id))
    {
        this->share_departures();
    }
}

void sidecar_daemon::on_ready(const std::shared_ptr<exchange>& request)
{
    const bool serving = this->router.routes() != nullptr && !this->stop_requested;
    request->respond({.status = serving ? http_status::ok : http_status::unavailable});
}

void sidecar_daemon::on_metrics(const std::shared_ptr<exchange>& request)
{
    if (this->last_store_answer)
    {
        const std::chrono::duration<double> age = core::boot_clock::now() - *this->last_store_answer;
        this->counters.set("store_answer_age_seconds", age.count());
    }
    this->counters.set("held_bytes", static_cast<double>(this->memory.held_bytes()));
    this->counters.set("peak_held_bytes", static_cast<double>(this->memory.peak_bytes()));
    this->counters.set("caller_connections", static_cast<double>(this->outbound->connection_count()));
    request->respond({.status = http_status::ok,
                      .fields = "Content-Type: text/plain; version=0.0.4\r\n",
                      .body = this->counters.text()});
}

} // namespace laburnumreach::sidecar
