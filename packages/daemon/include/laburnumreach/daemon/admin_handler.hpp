#ifndef LABURNUMREACH_DAEMON_ADMIN_HANDLER_HPP
#define LABURNUMREACH_DAEMON_ADMIN_HANDLER_HPP

#include "laburnumreach/daemon/control_loop.hpp"
#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/daemon/metrics_text.hpp"
#include "laburnumreach/http/incoming_request.hpp"
#include "laburnumreach/http/response.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace laburnumreach::daemon
{

/// Serves operators: /metrics, /status, /healthz and /explain. Thread safe.
class admin_handler
{
public:
    /// @param list_servers returns the counters of the running servers
    admin_handler(daemon_state& state, control_loop& control,
                  std::function<std::vector<named_server_counters>()> list_servers);

    /// Answers one request.
    void handle(http::incoming_request& request, http::response& answer);

private:
    void healthz(http::response& answer);
    void explain(std::string_view target, http::response& answer);

    daemon_state& state;
    control_loop& control;
    std::function<std::vector<named_server_counters>()> list_servers;
};

} // namespace laburnumreach::daemon

#endif
