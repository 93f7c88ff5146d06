#ifndef LABURNUMREACH_SIDECAR_ROUTED_CALL_HPP
#define LABURNUMREACH_SIDECAR_ROUTED_CALL_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/exchange.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/routing_config.hpp"

#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::sidecar
{

/// State of a request from its receipt by the request router to its response.
struct routed_call
{
    std::uint64_t id = 0;
    std::shared_ptr<exchange> request;
    std::string customer; ///< Customer whose limit is charged; empty for none.
    call_message message; ///< Kept until the response, so that it can be sent to another instance.
    int max_instances = 1;
    bool large_body = false;
    core::duration latency_objective{};
    core::time_point received{};
    core::time_point deadline{}; ///< The earlier one of the caller's deadline and the route's timeout.

    std::string daemon_id; ///< Daemon to which the call was sent; empty while it waits for placement.
    std::uint64_t local_ticket = 0;         ///< Ticket of the local dispatcher, if the call was placed there.
    std::vector<std::string> tried_daemons; ///< Daemons that did not answer with a response.
    int instances_used = 0;                 ///< Number of instances that may have received the request.
    bool may_have_run = false;
    std::string last_reason; ///< Cause of the last failed placement.
};

} // namespace laburnumreach::sidecar

#endif
