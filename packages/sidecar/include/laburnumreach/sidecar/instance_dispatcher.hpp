#ifndef LABURNUMREACH_SIDECAR_INSTANCE_DISPATCHER_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_DISPATCHER_HPP

#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_connection.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/sidecar_metrics.hpp"
#include "laburnumreach/sidecar/slot_queue.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Runs calls on the instance beside this daemon. It alone decides whether a call starts, so its statement
/// that a call was not started is true in every partition.
class instance_dispatcher
{
public:
    /// Identifies a submitted call.
    using ticket = std::uint64_t;
    using reply_handler = std::function<void(reply_message)>;

    /// Settings of the runner.
    struct options
    {
        tcp::endpoint instance_address;
        header_names names;
        /// Time after the announcement of its end in which a leaving instance still gets calls that were
        /// sent before the senders learned of it.
        core::duration drain_limit = std::chrono::seconds{1};
    };

    instance_dispatcher(asio::io_context& context, options initial_settings, instance_state& state,
                        event_log& log, sidecar_metrics& metrics);

    /// Takes a call.
    /// @param handler called once with the result, never from within this call; not called after cancel()
    ///        unless the call runs on
    ticket submit(call_message call, reply_handler handler);

    /// Withdraws a call. A waiting one never starts; a running idempotent one is broken off. A running call
    /// that must not run twice goes on, and its handler is called.
    /// @returns whether the call runs on
    bool cancel(ticket id);

    /// Applies limits that depend on the time. Call it every few milliseconds.
    void tick(core::time_point now);

    /// Reacts to a change of the instance's state.
    void on_instance_changed();

    /// States from now on that no work is accepted, so that senders choose others; what still comes is run.
    void announce_draining() { this->draining = true; }

    /// Refuses new calls from now on.
    void refuse_new_calls() { this->refusing_new_calls = true; }

    /// Returns the state that callers use for placement.
    instance_status status() const;

    /// Returns the number of calls that run or wait.
    std::size_t open_calls() const noexcept { return this->calls.size(); }

    /// Returns and clears the starts of runs by route since the last call.
    std::unordered_map<std::string, std::uint32_t> take_run_starts()
    {
        return std::exchange(this->run_starts, {});
    }

private:
    struct open_call
    {
        call_message message;
        reply_handler handler;
        core::time_point arrived{};
        core::time_point deadline{};
        core::time_point started{};
        std::shared_ptr<instance_connection> connection; ///< While running.
    };

    /// Share of the slots in use at most: services slow down when nearly all slots are taken.
    static constexpr double max_slot_utilization = 0.95;
    /// Calls that wait at most, as a multiple of the slots.
    static constexpr std::uint32_t max_queued_per_slot = 4;
    /// Time without new calls after a failed connect, before another one is tried.
    static constexpr core::duration connect_retry_delay = std::chrono::milliseconds{250};
    /// Idle connections kept at most.
    static constexpr std::size_t max_idle_connections = 64;

    std::uint32_t usable_slots() const;
    void start(ticket id);
    void start_queued();
    bool can_start_in_time(const waiting_call& call, core::time_point now) const;
    void post_start_queued();
    void on_result(ticket id, const std::shared_ptr<instance_connection>& connection, instance_result result);
    void finish(ticket id, reply_message reply);
    void refuse(ticket id, std::string_view reason);
    void refuse_all_queued(std::string_view reason);
    std::shared_ptr<instance_connection> take_connection();
    std::string format_request(const open_call& call, core::time_point now) const;
    reply_message make_reply(const open_call& call, instance_result& result) const;
    core::duration expected_run_time() const;
    void record_run_time(core::duration run_time, core::time_point now);
    void decay_mean_run_time(core::time_point now);

    asio::io_context& io;
    options settings;
    instance_state& instance;
    event_log& events;
    sidecar_metrics& counters;
    std::unordered_map<ticket, open_call> calls;
    slot_queue queue;
    std::vector<std::shared_ptr<instance_connection>> idle_connections; ///< The last used one at the end.
    std::unordered_map<std::string, std::uint32_t> run_starts;
    ticket next_ticket = 1;
    std::uint32_t running = 0;
    double mean_run_ms = 0;
    core::time_point run_time_updated{}; ///< When mean_run_ms changed last.
    core::time_point leaving_since{};
    core::time_point connect_blocked_until{};
    core::duration last_queue_wait{};
    bool draining = false;
    bool refusing_new_calls = false;
    bool start_posted = false;
};

} // namespace laburnumreach::sidecar

#endif
