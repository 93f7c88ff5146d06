#ifndef LABURNUMREACH_OVERLOAD_CALL_SCHEDULER_HPP
#define LABURNUMREACH_OVERLOAD_CALL_SCHEDULER_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/admission_control.hpp"
#include "laburnumreach/overload/concurrency_limiter.hpp"
#include "laburnumreach/overload/fair_queue.hpp"
#include "laburnumreach/overload/load_feedback.hpp"
#include "laburnumreach/overload/service_time_estimator.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace laburnumreach::overload
{

/// Settings of a call_scheduler.
struct scheduler_options
{
    limiter_options limiter;
    queue_options queue;
    admission_options admission;
};

/// Result of call_scheduler::submit.
struct submit_result
{
    enum class action : std::uint8_t
    {
        start,  ///< A slot was taken; run the call now.
        queued, ///< Wait until call_scheduler::next returns the call.
        refused ///< Answer with outcome not_run and the reason.
    };

    action decision = action::refused;
    /// Set when queued; cancels the call.
    queue_ticket ticket;
    /// Set when refused.
    core::reason why = core::reason::none;
    /// Another call that was evicted from the queue; answer it with not_run and queue_full.
    std::optional<queued_call> evicted;
};

/// A call that leaves the queue.
struct dequeued_call
{
    queued_call call;
    /// none: a slot was taken, run the call now. Otherwise answer with outcome not_run and this reason.
    core::reason why = core::reason::none;
};

/// What was observed of a finished call.
struct run_observation
{
    core::priority_class cls = core::priority_class::normal;
    /// Time from start to end.
    core::duration total_latency{0};
    /// Part of total_latency during which the upstream waited for its nested calls.
    core::duration nested_latency{0};
    upstream_result result = upstream_result::success;
};

/// Schedules the calls to one upstream instance at its exit daemon: concurrency limit, queue and admission
/// level.
///
/// Not thread safe: call it under one lock. After each submit, finish, cancel and end_nested_wait, call
/// next() until it returns no value. While calls are queued, also call next() at least every 50 ms, so that
/// calls whose deadline became unmeetable are answered in time.
class call_scheduler
{
public:
    /// @param slots announced slots, at least 1
    explicit call_scheduler(std::uint32_t slots, const scheduler_options& options = {});

    /// Offers a call to the instance.
    /// @param call its latest_start and enqueued are filled in here
    /// @param deadline time by which the call must be answered
    submit_result submit(core::time_point now, queued_call call, core::time_point deadline);

    /// Removes a waiting call that is to run now or whose deadline became unmeetable.
    /// @returns no value when there is nothing to do now
    std::optional<dequeued_call> next(core::time_point now);

    /// Removes a queued call that its caller cancelled.
    /// @returns false when the call already left the queue
    bool cancel(core::time_point now, queue_ticket ticket);

    /// Records the end of a started call.
    void finish(core::time_point now, const run_observation& run);

    /// Records that a running call started to wait for its nested calls.
    void begin_nested_wait(core::time_point now);
    /// Records that a running call stopped waiting for its nested calls.
    void end_nested_wait(core::time_point now);

    /// Records an announcement of the upstream.
    /// @param slots at least 1
    /// @param load reported by the upstream; only a hint
    void announce(core::time_point now, std::uint32_t slots, double load);

    /// Returns the feedback for a response.
    /// @param dependency_level highest level of the dependencies that the called route calls
    load_feedback feedback(core::time_point now, admission_level dependency_level);

    const concurrency_limiter& limiter() const noexcept { return this->limit; }
    std::size_t queue_length() const noexcept { return this->queue.size(); }

private:
    void update(core::time_point now);

    concurrency_limiter limit;
    fair_queue queue;
    admission_control admission;
    /// Per class, since service times differ most between routes of different classes.
    std::array<service_time_estimator, core::priority_class_count> service_times;
};

} // namespace laburnumreach::overload

#endif
