#ifndef LABURNUMREACH_OVERLOAD_NAIVE_SCHEDULER_HPP
#define LABURNUMREACH_OVERLOAD_NAIVE_SCHEDULER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/call_scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace laburnumreach::overload
{

/// For comparison in tests and benchmarks: a static limit and a FIFO queue, without deadlines, classes,
/// customers or feedback. It has the part of the interface of call_scheduler that they use.
class naive_scheduler
{
public:
    /// Queue capacity in calls per slot.
    static constexpr std::size_t queue_per_slot = 10;

    explicit naive_scheduler(std::uint32_t limit) : slots(limit) {}

    submit_result submit(core::time_point now, queued_call call, core::time_point deadline);
    std::optional<dequeued_call> next(core::time_point now);
    void finish(core::time_point now, const run_observation& run);
    void begin_nested_wait(core::time_point /*now*/) {}
    void end_nested_wait(core::time_point /*now*/) {}
    void announce(core::time_point /*now*/, std::uint32_t /*slots*/, double /*load*/) {}
    load_feedback feedback(core::time_point /*now*/, admission_level /*dependency_level*/) { return {}; }

    std::uint32_t in_flight() const noexcept { return this->running; }
    std::size_t queue_length() const noexcept { return this->waiting.size(); }

private:
    std::uint32_t slots;
    std::uint32_t running = 0;
    std::uint32_t generation = 0;
    std::deque<queued_call> waiting;
};

} // namespace laburnumreach::overload

#endif
