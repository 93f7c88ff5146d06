#ifndef LABURNUMREACH_DAEMON_DAEMON_STATE_HPP
#define LABURNUMREACH_DAEMON_DAEMON_STATE_HPP

#include "laburnumreach/config/daemon_settings.hpp"
#include "laburnumreach/daemon/body_budget.hpp"
#include "laburnumreach/daemon/call_forwarder.hpp"
#include "laburnumreach/daemon/call_registry.hpp"
#include "laburnumreach/daemon/claim_gate.hpp"
#include "laburnumreach/daemon/daemon_metrics.hpp"
#include "laburnumreach/daemon/destination_table.hpp"
#include "laburnumreach/daemon/event_queue.hpp"
#include "laburnumreach/daemon/exchange_watch.hpp"
#include "laburnumreach/daemon/name_registry.hpp"
#include "laburnumreach/daemon/observed_calls.hpp"
#include "laburnumreach/daemon/peer_addresses.hpp"
#include "laburnumreach/daemon/refusal_log.hpp"
#include "laburnumreach/daemon/runtime_config.hpp"
#include "laburnumreach/daemon/upstream_gateway.hpp"
#include "laburnumreach/http/client_pool.hpp"
#include "laburnumreach/protocol/message_authenticator.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

namespace laburnumreach::daemon
{

/// What the control thread and the traffic threads share.
struct daemon_state
{
    explicit daemon_state(const config::daemon_settings& settings);

    /// Returns the configuration in force, or null before the first one.
    std::shared_ptr<const runtime_config> configuration() const { return this->current_config.load(); }

    config::daemon_settings settings;
    std::uint64_t incarnation; ///< Random number of this start of the process.
    event_queue events;
    /// Says whether a process is running. Set by the control loop before traffic starts, called on its
    /// thread.
    std::function<bool(const idempotency::process_id&)> process_is_running;
    protocol::message_authenticator authenticator;
    name_registry names;
    daemon_metrics metrics;
    refusal_log refusals;
    body_budget bodies;
    http::client_pool pool;
    handle_registry handles;
    entry_registry entry_calls;
    exchange_watch watch;
    destination_table destinations;
    daemon::peer_addresses peer_addresses;
    observed_calls calls_by_route;
    upstream_gateway gateway;
    call_forwarder forwarder;
    claim_gate claims;
    std::atomic<std::shared_ptr<const runtime_config>> current_config;
    std::atomic<bool> draining{false};
    /// Cleared while this daemon may have missed the withdrawal of a key for too long.
    std::atomic<bool> keys_verifiable{true};
};

} // namespace laburnumreach::daemon

#endif
