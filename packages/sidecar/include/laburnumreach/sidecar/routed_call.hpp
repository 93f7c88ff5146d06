#ifndef LABURNUMREACH_SIDECAR_ROUTED_CALL_HPP
#define LABURNUMREACH_SIDECAR_ROUTED_CALL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/exchange.hpp"
#include "laburnumreach/sidecar/fleet_routes.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// A request on its way through the entry daemon.
struct routed_call
{
    std::uint64_t id = 0;
    std::shared_ptr<exchange> request;
    std::string customer; ///< Charged for it; empty for none.
    call_message message; ///< Kept until the response, for another instance.
    int max_instances = 1;
    bool large_body = false;
    core::duration latency_objective{};
    core::time_point received{};
    core::time_point deadline{}; ///< Of the caller or the route, whichever is earlier.

    std::string daemon_id;                  ///< Daemon that holds the call; empty while it waits.
    std::uint64_t local_ticket = 0;         ///< Ticket at the runner of this daemon, when it holds the call.
    std::vector<std::string> tried_daemons; ///< Daemons that did not serve it.
    int instances_used = 0;                 ///< Instances that may have received it.
    bool may_have_run = false;
    std::string last_reason; ///< Why it was not served so far.
};

} // namespace laburnumreach::sidecar

#endif
