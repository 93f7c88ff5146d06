#ifndef LABURNUMREACH_DAEMON_CALL_FORWARDER_HPP
#define LABURNUMREACH_DAEMON_CALL_FORWARDER_HPP

#include "laburnumreach/core/reason_counters.hpp"
#include "laburnumreach/daemon/call_context.hpp"
#include "laburnumreach/daemon/destination_table.hpp"
#include "laburnumreach/daemon/exchange_watch.hpp"
#include "laburnumreach/daemon/forwarded_call.hpp"
#include "laburnumreach/daemon/upstream_gateway.hpp"
#include "laburnumreach/http/client_pool.hpp"
#include "laburnumreach/overload/retry_policy.hpp"
#include "laburnumreach/protocol/message_authenticator.hpp"

#include <memory>
#include <string>

namespace laburnumreach::daemon
{

/// Settings of a call_forwarder.
struct call_forwarder_options
{
    std::string daemon_id;
};

/// Sends a call to an instance of the called service, and retries where that is allowed. Thread safe.
class call_forwarder
{
public:
    call_forwarder(const call_forwarder_options& options, destination_table& destinations,
                   upstream_gateway& gateway, http::client_pool& pool, exchange_watch& watch,
                   const protocol::message_authenticator& authenticator, core::reason_counters& retries);

    /// Forwards a call and waits for its end.
    /// @param call the call; its attempts are used up by retries
    call_outcome forward(const std::shared_ptr<call_context>& call, const forwarded_request& request);

private:
    struct attempt
    {
        overload::instance_id id = 0;
        instance_target target;
    };

    core::verdict choose(call_context& call, const forwarded_request& request, called_service& service,
                         const attempt& previous, std::uint32_t tries, attempt& chosen);
    call_outcome send(const std::shared_ptr<call_context>& call, const forwarded_request& request,
                      const attempt& chosen);
    call_outcome send_to_peer(const std::shared_ptr<call_context>& call, const forwarded_request& request,
                              const attempt& chosen, std::uint32_t lent);
    void record(called_service& service, const forwarded_request& request, const attempt& chosen,
                const call_outcome& outcome, core::duration latency);
    core::verdict advise(core::verdict verdict, called_service& service, const forwarded_request& request);
    bool wait_before_retry(const call_context& call, const forwarded_request& request,
                           core::duration backoff) const;

    call_forwarder_options options;
    destination_table& destinations;
    upstream_gateway& gateway;
    http::client_pool& pool;
    exchange_watch& watch;
    const protocol::message_authenticator& authenticator;
    core::reason_counters& retries;
    overload::retry_policy policy;
};

} // namespace laburnumreach::daemon

#endif
