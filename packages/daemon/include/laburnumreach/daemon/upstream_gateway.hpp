#ifndef LABURNUMREACH_DAEMON_UPSTREAM_GATEWAY_HPP
#define LABURNUMREACH_DAEMON_UPSTREAM_GATEWAY_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/daemon/announcement.hpp"
#include "laburnumreach/daemon/call_context.hpp"
#include "laburnumreach/daemon/call_registry.hpp"
#include "laburnumreach/daemon/exchange_watch.hpp"
#include "laburnumreach/daemon/forwarded_call.hpp"
#include "laburnumreach/http/client_pool.hpp"
#include "laburnumreach/membership/member_record.hpp"
#include "laburnumreach/overload/call_scheduler.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace laburnumreach::daemon
{

/// Settings of an upstream_gateway.
struct upstream_gateway_options
{
    std::string zone;
    /// An upstream that missed three announcements is taken out of service.
    core::duration announcement_timeout = std::chrono::seconds{3};
    /// Calls that wait at most. Each occupies a worker thread.
    std::size_t queue_capacity = 128;
};

/// State of the upstream as other daemons should see it.
struct upstream_state
{
    std::string service;
    std::string instance;
    std::uint32_t slots = 0;
    membership::instance_state state = membership::instance_state::none;

    friend bool operator==(const upstream_state&, const upstream_state&) = default;
};

/// Runs calls on the upstream beside this daemon: one concurrency limit and one queue for all of them. Thread
/// safe.
class upstream_gateway
{
public:
    /// Returns the level of the dependencies that a route calls.
    using dependency_level_function = std::function<overload::admission_level(std::string_view route)>;

    upstream_gateway(const upstream_gateway_options& options, http::client_pool& pool,
                     handle_registry& handles, exchange_watch& watch,
                     dependency_level_function dependency_level);

    /// Records an announcement of the upstream.
    /// @returns conflict when another live instance is beside this daemon already
    core::result<void> announce(core::time_point now, const announcement& value);

    /// Takes the upstream out of service when it stopped announcing itself, and answers queued calls whose
    /// deadline became unmeetable. Call it at least every 50 ms.
    void tick(core::time_point now);

    /// Sets whether operators drain the instance.
    void set_drained(bool drained);

    /// Returns the state that other daemons should see.
    upstream_state state() const;

    /// Returns the address of the upstream, or an empty one.
    http::endpoint address() const;

    /// Runs a call, waiting in the queue for a slot.
    call_outcome run(const std::shared_ptr<call_context>& call, const forwarded_request& request);

    /// Records that a nested call of a running call begins or ends.
    void begin_nested(call_context& call);
    void end_nested(call_context& call);

    /// Returns counters for /status.
    struct gauges
    {
        std::uint32_t in_flight = 0;
        std::uint32_t limit = 0;
        std::size_t queued = 0;
    };
    gauges current() const;

private:
    struct waiter
    {
        std::condition_variable changed;
        bool decided = false;
        core::reason why = core::reason::none;
    };

    core::verdict wait_for_slot(std::unique_lock<std::mutex>& lock, const call_context& call,
                                const forwarded_request& request);
    core::verdict wait_in_queue(std::unique_lock<std::mutex>& lock, const call_context& call,
                                const forwarded_request& request, std::uint64_t id,
                                overload::queue_ticket ticket);
    call_outcome execute(const std::shared_ptr<call_context>& call, const forwarded_request& request,
                         const http::endpoint& upstream);
    // The functions below are called with the lock held.
    void finish(call_context& call, core::time_point started, overload::upstream_result result);
    hop_report report(core::time_point now, call_context& call);
    void start_waiting_calls(core::time_point now);
    void decide(std::uint64_t id, core::reason why);
    core::reason unavailable_reason() const;

    upstream_gateway_options options;
    http::client_pool& pool;
    handle_registry& handles;
    exchange_watch& watch;
    dependency_level_function dependency_level;

    // One lock for the decision point of the instance: its state machines are not thread safe, and a call
    // takes the lock three times for well under a microsecond of work.
    mutable std::mutex mutex;
    announcement last;
    core::time_point announced_at{};
    bool announced = false;
    bool drained = false;
    std::unique_ptr<overload::call_scheduler> control;
    std::unordered_map<std::uint64_t, waiter*> waiters;
    std::uint64_t next_id = 1;
};

} // namespace laburnumreach::daemon

#endif
