#ifndef LABURNUMREACH_DAEMON_PEER_HANDLER_HPP
#define LABURNUMREACH_DAEMON_PEER_HANDLER_HPP

#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/http/incoming_request.hpp"
#include "laburnumreach/http/response.hpp"
#include "laburnumreach/protocol/call_envelope.hpp"

#include <memory>
#include <string_view>

namespace laburnumreach::daemon
{

/// Serves calls of other daemons to the upstream beside this one. Thread safe.
class peer_handler
{
public:
    explicit peer_handler(daemon_state& shared) : state(shared) {}

    /// Answers one call.
    void handle(http::incoming_request& request, http::response& answer);

private:
    call_outcome run(http::incoming_request& request, const protocol::call_envelope& envelope);
    void answer_recorded(std::string_view target, http::response& answer);
    void answer_refusal(const core::verdict& verdict, http::response& answer);

    daemon_state& state;
};

} // namespace laburnumreach::daemon

#endif
