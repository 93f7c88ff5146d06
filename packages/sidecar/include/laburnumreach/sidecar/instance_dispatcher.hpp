#ifndef LABURNUMREACH_SIDECAR_INSTANCE_DISPATCHER_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_DISPATCHER_HPP

#include "laburnumreach/sidecar/event_log.hpp"
#include "laburnumreach/sidecar/header_names.hpp"
#include "laburnumreach/sidecar/instance_connection.hpp"
#include "laburnumreach/sidecar/instance_state.hpp"
#include "laburnumreach/sidecar/memory_reservation.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/response_time_estimator.hpp"
#include "laburnumreach/sidecar/sidecar_metrics.hpp"
#include "laburnumreach/sidecar/slot_queue.hpp"
#include "laburnumreach/sidecar/stop_deadline.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace laburnumreach::sidecar
{

/// What becomes of a call after its cancellation.
enum class cancel_result : std::uint8_t
{
    never_starts, ///< The call was queued and is dropped. Its handler is not called.
    aborted,      ///< The call was running and is cut off; it may have run. Its handler is not called.
    continues,    ///< The call runs on, or has ended and its reply is on the way. Its handler is called.
    unknown,      ///< No such call: its handler has been called already.
};

/// Queues calls and runs them on the instance on this VM. A run is one execution of a call by the instance.
///
/// Only the dispatcher starts calls on its instance, so its reply that a call was not started is reliable
/// even during a network partition.
class instance_dispatcher
{
public:
    /// Identifies a submitted call.
    using ticket = std::uint64_t;
    using reply_handler = std::function<void(reply_message)>;

    struct options
    {
        tcp::endpoint instance_address;
        header_names names;
        /// Time after its deregistration in which an instance still gets calls, since these may have been
        /// sent before the senders learned of it.
        core::duration drain_limit = std::chrono::seconds{1};
        /// Accounts for the requests, and outlives the dispatcher; null for no limit.
        body_memory* memory = nullptr;
    };

    instance_dispatcher(asio::io_context& context, options initial_settings, instance_state& state,
                        event_log& log, sidecar_metrics& metrics);

    /// Queues a call, or refuses it.
    /// @param handler called once with the reply, never from within submit(); after cancel() as its result
    ///        says
    ticket submit(call_message call, reply_handler handler);

    /// Cancels a call. A queued call never starts; a running idempotent call is aborted. A running call that
    /// is not idempotent continues.
    cancel_result cancel(ticket id);

    /// Expires calls and idle connections. Call it every few milliseconds.
    void tick(core::time_point now);

    /// Sets how many bytes of responses may be read until the next call. When they are used up, all large
    /// responses wait except the one to the most urgent call, so that it ends and frees its memory.
    /// @param may_exceed whether that one may be read; not if callers leave their responses unread
    void allow_reading(std::size_t bytes, bool may_exceed = true);

    /// Returns the size of all messages that are held.
    std::size_t held_bytes() const;

    /// Returns the size of the responses that are being received. Unlike requests, they are not reserved.
    std::size_t response_bytes() const;

    /// Reacts to a change of the instance's state.
    void on_instance_changed();

    /// Refuses calls that arrive after the instance began to leave, since it did so long ago. Call it before
    /// on_instance_changed().
    void forbid_late_calls() { this->gave_work = false; }

    /// Reports from now on that this instance accepts no work, so that senders choose other ones. Calls that
    /// still arrive are run.
    void announce_draining() { this->draining = true; }

    /// Replaces options::drain_limit.
    void set_drain_limit(core::duration limit) { this->settings.drain_limit = limit; }

    /// Sets when this daemon ends. From now on, a call that is expected to run for longer does not start, and
    /// the instance is given no more time than until then.
    void set_end(core::time_point end) { this->stop_end.set(end); }

    /// Refuses new calls from now on.
    void refuse_new_calls() { this->refusing_new_calls = true; }

    /// Returns the state that request routers use for placement.
    instance_status status() const;

    /// Returns the number of connections to the instance that are kept for further calls.
    std::size_t idle_connection_count() const noexcept { return this->idle_connections.size(); }

    /// Returns the largest number of connections to the instance.
    std::size_t max_connections() const { return this->usable_slots() + max_idle_connections; }

    /// Returns the number of calls that the instance runs.
    std::uint32_t running_calls() const noexcept { return this->running; }

    /// Returns whether a run has time until the given deadline, but for the time of messages. Calls that a
    /// run makes end with it.
    bool has_run_until(core::time_point deadline) const;

    /// Returns the number of calls whose handler has not been called: queued, running, or just ended.
    std::size_t open_calls() const noexcept { return this->calls.size() + this->ended_calls.size(); }

    /// Returns the number of started runs by route since the last call of this function, and resets it.
    std::unordered_map<std::string, std::uint32_t> take_run_starts()
    {
        return std::exchange(this->run_starts, {});
    }

private:
    struct open_call
    {
        call_message message;
        memory_reservation memory; ///< For the request.
        reply_handler handler;
        core::time_point arrived{};
        core::time_point deadline{};
        core::time_point started{};
        core::time_point stated_deadline{}; ///< Given to the instance; earlier than the deadline in a stop.
        std::shared_ptr<instance_connection> connection; ///< Set while running.
    };

    /// Maximum share of the slots in use. Services slow down when nearly all slots are taken.
    static constexpr double max_slot_utilization = 0.95;
    /// Maximum queue length, as a multiple of the usable slots.
    static constexpr std::uint32_t max_queued_per_slot = 4;
    /// Time after a failed connect for which new calls are refused.
    static constexpr core::duration connect_retry_delay = std::chrono::milliseconds{250};
    static constexpr std::size_t max_idle_connections = 64;

    /// Time between two checks of the running calls and of the idle connections.
    static constexpr core::duration check_interval = std::chrono::milliseconds{50};

    std::uint32_t usable_slots() const;
    void end_overdue_calls(core::time_point now);
    void close_unusable_connections(core::time_point now);
    void start(ticket id);
    void start_queued();
    bool is_in_drain_time(core::time_point now) const;
    bool can_start_in_time(const waiting_call& call, core::time_point now) const;
    bool is_expected_to_end_late(const open_call& call) const;
    void post_start_queued();
    void on_result(ticket id, instance_result result);
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
    std::shared_ptr<read_allowance> allowance = std::make_shared<read_allowance>();
    std::unordered_map<ticket, open_call> calls;
    std::unordered_set<ticket> ended_calls; ///< Calls that have ended; their handlers are about to be called.
    slot_queue queue;
    /// Ordered by last use, the most recent at the end.
    std::vector<std::shared_ptr<instance_connection>> idle_connections;
    std::unordered_map<std::string, std::uint32_t> run_starts;
    ticket next_ticket = 1;
    std::uint32_t running = 0;
    double mean_run_ms = 0;
    response_time_estimator run_times;   ///< Of all routes. Unlike the mean, known from the first run on.
    core::time_point run_time_updated{}; ///< Time of the last change of mean_run_ms.
    bool gave_work = false;              ///< Whether the instance accepted work when its state changed last.
    /// Time at which an instance that had work began to leave.
    std::optional<core::time_point> leaving_since;
    core::time_point last_check{};
    core::time_point connect_blocked_until{};
    core::duration last_queue_wait{};
    stop_deadline stop_end;
    bool draining = false;
    bool refusing_new_calls = false;
    bool start_posted = false;
};

} // namespace laburnumreach::sidecar

#endif
