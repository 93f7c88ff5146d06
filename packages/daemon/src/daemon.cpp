#include "laburnumreach/daemon/daemon.hpp"

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/daemon/log.hpp"

#include <algorithm>
#include <thread>

namespace laburnumreach::daemon
{

namespace
{

/// Time for other daemons to learn of the leave and to stop sending; gossip reaches all of them in less.
constexpr core::duration leave_notice = std::chrono::milliseconds{1500};
/// Part of the shutdown timeout that is kept for the last messages.
constexpr core::duration final_reserve = std::chrono::milliseconds{500};
constexpr core::duration poll_interval = std::chrono::milliseconds{20};
constexpr std::size_t admin_workers = 2;
constexpr std::size_t admin_connections = 64;

} // namespace

core::result<std::unique_ptr<daemon>> daemon::start(const config::daemon_settings& settings)
{
    std::unique_ptr<daemon> started{new daemon{settings}};
    const core::result<void> opened = started->open_listeners();
    if (!opened)
    {
        return tl::unexpected<core::error>{opened.error()};
    }
    log_line(config::log_level::info, "started", {{"id", settings.id}, {"zone", settings.zone}});
    return started;
}

daemon::daemon(const config::daemon_settings& settings)
    : state(settings), entry(this->state), peer(this->state), local(this->state)
{
}

daemon::~daemon()
{
    for (const auto* server :
         {&this->callers_server, &this->local_server, &this->peers_server, &this->admin_server})
    {
        if (*server)
        {
            (*server)->stop();
        }
    }
    if (this->control)
    {
        this->control->stop();
    }
}

core::result<void> daemon::open_listeners()
{
    const config::listen_settings& listen = this->state.settings.listen;
    const std::string control_address =
        config::to_string(config::endpoint{.address = listen.address, .port = listen.control});
    auto transport = protocol::control_transport::open({.listen_address = control_address});
    if (!transport)
    {
        return tl::unexpected<core::error>{transport.error()};
    }
    this->control = std::make_unique<control_loop>(this->state, std::move(*transport));
    this->admin = std::make_unique<admin_handler>(this->state, *this->control,
                                                  [this] { return this->server_counters(); });
    this->control->start();

    http::server_options options;
    options.address = listen.address;
    options.workers = this->state.settings.limits.workers;
    options.max_connections = this->state.settings.limits.max_connections;
    options.name = "local";
    options.port = listen.local;
    return this
        ->open_server(this->local_server, options,
                      [this](http::incoming_request& request, http::response& answer)
                      { this->local.handle(request, answer); })
        .and_then(
            [&]
            {
                options.name = "peers";
                options.port = listen.peers;
                return this->open_server(this->peers_server, options,
                                         [this](http::incoming_request& request, http::response& answer)
                                         { this->peer.handle(request, answer); });
            })
        .and_then(
            [&]
            {
                options.name = "callers";
                options.port = listen.callers;
                return this->open_server(this->callers_server, options,
                                         [this](http::incoming_request& request, http::response& answer)
                                         { this->entry.handle(request, answer); });
            })
        .and_then(
            [&]
            {
                options.name = "admin";
                options.port = listen.admin;
                options.workers = admin_workers;
                options.max_connections = admin_connections;
                return this->open_server(this->admin_server, options,
                                         [this](http::incoming_request& request, http::response& answer)
                                         { this->admin->handle(request, answer); });
            });
}

core::result<void> daemon::open_server(std::unique_ptr<http::server>& target,
                                       const http::server_options& options, http::request_handler handler)
{
    auto server = http::server::start(options, std::move(handler));
    if (!server)
    {
        core::error fault = server.error();
        fault.message = "listener " + options.name + ": " + fault.message;
        return tl::unexpected<core::error>{std::move(fault)};
    }
    target = std::move(*server);
    return {};
}

std::vector<named_server_counters> daemon::server_counters() const
{
    std::vector<named_server_counters> list;
    const auto add = [&](std::string_view name, const std::unique_ptr<http::server>& server)
    {
        if (server)
        {
            list.push_back({.name = name, .counters = &server->counters()});
        }
    };
    add("callers", this->callers_server);
    add("peers", this->peers_server);
    add("local", this->local_server);
    return list;
}

bool daemon::shut_down()
{
    const core::time_point end = core::boot_clock::now() + this->state.settings.shutdown_timeout;
    log_line(config::log_level::info, "shutdown_started");
    this->state.draining.store(true);
    this->control->begin_leave();
    const core::time_point notice_end = std::min(core::boot_clock::now() + leave_notice, end);
    std::this_thread::sleep_for(notice_end - core::boot_clock::now());

    const core::time_point traffic_end = end - final_reserve;
    this->callers_server->begin_drain();
    const bool callers_done = this->callers_server->wait_until_idle(traffic_end);
    this->peers_server->begin_drain();
    const bool peers_done = this->peers_server->wait_until_idle(traffic_end);
    while (!this->control->roles_released() && core::boot_clock::now() < traffic_end)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    this->control->announce_left();
    std::this_thread::sleep_for(std::min<core::duration>(poll_interval * 5, end - core::boot_clock::now()));
    const bool clean = callers_done && peers_done;
    log_line(clean ? config::log_level::info : config::log_level::warning, "shutdown_finished",
             {{"cut_requests", clean ? "0" : "some"}});
    return clean;
}

} // namespace laburnumreach::daemon
