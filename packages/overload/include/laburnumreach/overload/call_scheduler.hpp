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

/// Settings of an call_scheduler.
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
    /// Another call that lost its place; answer it with not_run and queue_full.
    std::optional<queued_call> evicted;
};

/// A call that leaves the queue.
struct dequeued_call
{
    queued_call call;
    /// none: a slot was taken, run the call now. Otherwise answer with outcome not_run and this reason.
    core::reason why = core::reason::none;
};

/// How a call ran.
struct run_observation
{
    core::priority_class cls = core::priority_class::normal;
    /// Time from start to end.
    core::duration total_latency{0};
    /// Part of it during which the upstream waited for its nested calls.
    core::duration nested_latency{0};
    upstream_result result = upstream_result::success;
};

/// Decision point of one upstream instance: concurrency limit, queue and admission level.
///
/// Not thread safe: the embedder calls it under one lock, and after each submit, finish, cancel and
/// end_nested_wait calls next() until it returns no value. While calls are queued, it also calls next() at
/// least every 50 ms, so that calls whose deadline became unmeetable are answered in time.
class call_scheduler
{
public:
    /// @param slots announced slots, at least 1
    explicit call_scheduler(std::uint32_t slots, const scheduler_options& options = {});

    /// Offers a call to the instance.
    /// @param call its latest_start and enqueued are filled in here
    /// @param deadline end of the time that the call has
    submit_result submit(core::time_point now, queued_call call, core::time_point deadline);

    /// Removes a waiting call that runs now or whose deadline became unmeetable.
    /// @returns no value when there is nothing to do now
    std::optional<dequeued_call> next(core::time_point now);

    /// Removes a queued call whose caller went away.
    /// @returns false when the call already left the queue
    bool cancel(core::time_point now, queue_ticket ticket);

    /// Records the end of a started call.
    void finish(core::time_point now, const run_observation& run);

    /// Records that a running call began or ended waiting for nested calls.
    void begin_nested_wait(core::time_point now);
    void end_nested_wait(core::time_point now);

    /// Records an announcement of the upstream.
    /// @param slots at least 1
    /// @param load reported by the upstream; only a hint
    void announce(core::time_point now, std::uint32_t slots, double load);

    /// Returns the feedback for an answer.
    /// @param dependency_level highest level of the dependencies that the called route calls
    load_feedback feedback(core::time_point now, admission_level dependency_level);

    const concurrency_limiter& limiter() const noexcept { return this->limit; }
    std::size_t queue_length() const noexcept { return this->queue.size(); }

private:
    void update(core::time_point now);

    concurrency_limiter limit;
    fair_queue queue;
    admission_control admission;
    /// Class by class, since routes of different classes differ most in service time.
    std::array<service_time_estimator, core::priority_class_count> service_times;
};

} // namespace laburnumreach::overload

#endif
