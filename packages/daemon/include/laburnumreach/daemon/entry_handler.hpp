#ifndef LABURNUMREACH_DAEMON_ENTRY_HANDLER_HPP
#define LABURNUMREACH_DAEMON_ENTRY_HANDLER_HPP

#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/daemon/once_runner.hpp"
#include "laburnumreach/http/incoming_request.hpp"
#include "laburnumreach/http/response.hpp"

#include <memory>
#include <string>

namespace laburnumreach::daemon
{

/// Serves requests of callers: identifies the tenant, charges its quota, and forwards the request. Thread
/// safe.
class entry_handler
{
public:
    explicit entry_handler(daemon_state& shared) : state(shared), once(shared) {}

    /// Answers one request.
    void handle(http::incoming_request& request, http::response& answer);

private:
    struct admitted_request;

    core::verdict admit(http::incoming_request& request, admitted_request& admitted);
    core::verdict authenticate(http::incoming_request& request, admitted_request& admitted);
    core::verdict read_body(http::incoming_request& request, admitted_request& admitted);
    call_outcome run(http::incoming_request& request, admitted_request& admitted);
    void assign_position(admitted_request& admitted);
    void answer_refusal(const admitted_request& admitted, core::verdict verdict, http::response& answer);

    daemon_state& state;
    once_runner once;
};

} // namespace laburnumreach::daemon

#endif
