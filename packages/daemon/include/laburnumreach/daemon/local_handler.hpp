#ifndef LABURNUMREACH_DAEMON_LOCAL_HANDLER_HPP
#define LABURNUMREACH_DAEMON_LOCAL_HANDLER_HPP

#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/daemon/once_runner.hpp"
#include "laburnumreach/http/incoming_request.hpp"
#include "laburnumreach/http/response.hpp"

#include <memory>

namespace laburnumreach::daemon
{

/// Serves the upstream beside this daemon: its announcements and its calls to other services. Thread safe.
class local_handler
{
public:
    explicit local_handler(daemon_state& shared) : state(shared), once(shared) {}

    /// Answers one request.
    void handle(http::incoming_request& request, http::response& answer);

private:
    void announce(http::incoming_request& request, http::response& answer);
    call_outcome call_service(http::incoming_request& request, const std::shared_ptr<call_context>& parent);
    call_outcome forward(http::incoming_request& request, const std::shared_ptr<call_context>& parent,
                         const std::shared_ptr<call_context>& call, const runtime_config& config,
                         config::route_index route_number, std::string_view target);

    daemon_state& state;
    once_runner once;
};

} // namespace laburnumreach::daemon

#endif
