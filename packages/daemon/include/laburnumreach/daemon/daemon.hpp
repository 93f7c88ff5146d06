#ifndef LABURNUMREACH_DAEMON_DAEMON_HPP
#define LABURNUMREACH_DAEMON_DAEMON_HPP

#include "laburnumreach/config/daemon_settings.hpp"
#include "laburnumreach/core/error.hpp"
#include "laburnumreach/daemon/admin_handler.hpp"
#include "laburnumreach/daemon/control_loop.hpp"
#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/daemon/entry_handler.hpp"
#include "laburnumreach/daemon/local_handler.hpp"
#include "laburnumreach/daemon/peer_handler.hpp"
#include "laburnumreach/http/server.hpp"

#include <memory>

namespace laburnumreach::daemon
{

/// A whole daemon: listeners, handlers and the control thread.
class daemon
{
public:
    /// Binds all listeners and starts to serve.
    /// @returns an error that names the listener that could not be bound
    static core::result<std::unique_ptr<daemon>> start(const config::daemon_settings& settings);

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    /// Ends without cutting a request: peers stop sending first, running requests finish, roles are handed
    /// over. Takes at most the shutdown timeout of the settings.
    /// @returns whether all requests ended in time
    bool shut_down();

private:
    explicit daemon(const config::daemon_settings& settings);

    core::result<void> open_listeners();
    core::result<void> open_server(std::unique_ptr<http::server>& target, const http::server_options& options,
                                   http::request_handler handler);
    std::vector<named_server_counters> server_counters() const;

    daemon_state state;
    entry_handler entry;
    peer_handler peer;
    local_handler local;
    std::unique_ptr<control_loop> control;
    std::unique_ptr<admin_handler> admin;
    std::unique_ptr<http::server> callers_server;
    std::unique_ptr<http::server> peers_server;
    std::unique_ptr<http::server> local_server;
    std::unique_ptr<http::server> admin_server;
};

} // namespace laburnumreach::daemon

#endif
