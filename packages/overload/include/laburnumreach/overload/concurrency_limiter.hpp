#ifndef LABURNUMREACH_OVERLOAD_CONCURRENCY_LIMITER_HPP
#define LABURNUMREACH_OVERLOAD_CONCURRENCY_LIMITER_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>

namespace laburnumreach::overload
{

/// Settings of a concurrency_limiter.
struct limiter_options
{
    std::uint32_t min_limit = 2;
    std::uint32_t initial_limit = 4;
    /// Own latency above tolerance x baseline latency counts as congestion. Below 2, the limit would settle
    /// near the point where an instance becomes idle between calls.
    double tolerance = 2.0;
    /// Shortest observation window.
    core::duration window = std::chrono::milliseconds{100};
    /// A window is extended until it holds this many calls, or until max_window.
    std::uint32_t window_calls = 30;
    core::duration max_window = std::chrono::seconds{1};
};

/// Result of a call at the upstream, as the limiter counts it.
enum class upstream_result : std::uint8_t
{
    success,
    failure, ///< Timeout, broken connection or incomplete response of this upstream.
    ignored, ///< Cancelled, or failed because of a dependency: says nothing about this upstream.
};

/// Adapts the concurrency limit of one upstream instance to the latency that the exit daemon observes.
///
/// The limit bounds the calls that the instance works on. Calls that wait for nested calls occupy an
/// announced slot but do not count against the limit, so that a slow dependency does not lower the limit of
/// its callers. Not thread safe.
class concurrency_limiter
{
public:
    /// @param slots announced slots, at least 1
    explicit concurrency_limiter(std::uint32_t slots, const limiter_options& options = {});

    /// Changes the announced slots. A smaller number takes effect as running calls end.
    void set_slots(std::uint32_t slots);

    /// Records the load value that the upstream reported; values at or above 0.9 lower the limit as long as
    /// the observed latency does not contradict them.
    void report_load(core::time_point now, double load);

    /// Takes a slot if one is free.
    /// @returns whether the call may start
    bool try_start();

    /// Records that a running call started to wait for its nested calls.
    void begin_nested_wait();
    /// Records that a running call stopped waiting for its nested calls.
    void end_nested_wait();

    /// Releases a slot. A call that is still waiting for nested calls must end that wait first.
    /// @param own_latency time between start and end, minus the time spent waiting for nested calls
    void finish(core::time_point now, core::duration own_latency, upstream_result result);

    /// Returns the current limit of working calls, at least 1 and at most the announced slots.
    std::uint32_t limit() const noexcept;
    std::uint32_t slots() const noexcept { return this->announced_slots; }
    std::uint32_t in_flight() const noexcept { return this->running; }
    /// Returns whether a call could start now.
    bool has_room() const noexcept;
    /// Returns the latency that the instance has without congestion; zero while unknown.
    core::duration baseline_latency() const noexcept { return this->baseline; }

private:
    struct observation_window
    {
        core::time_point begin{};
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        std::uint32_t peak_working = 0;
        double latency_sum = 0.0; ///< Nanoseconds, successes only.
        double working_sum = 0.0; ///< Working calls at each success.
        bool reached_limit = false;
    };

    void close_window(core::time_point now);
    void adapt_to_congestion(double latency, double working);
    bool baseline_is_stale(double latency, double working);
    void check_load_hint(core::time_point now, bool congested);
    std::uint32_t working() const noexcept { return this->running - this->nested; }

    limiter_options options;
    std::uint32_t announced_slots;
    std::uint32_t running = 0;
    std::uint32_t nested = 0;
    double computed_limit;
    core::duration baseline{0};
    observation_window window;
    bool slow_start = true;
    /// Set after a reduction: the next window holds calls that started before it.
    bool settling = false;

    /// State at the start of a series of reductions; shows whether latency depends on concurrency at all.
    double reference_latency = 0.0;
    double reference_working = 0.0;
    double reference_limit = 0.0;

    double load_factor = 1.0;
    core::duration load_contradiction_time{0};
    core::time_point ignore_load_until{};
    core::duration load_ignore_time;
};

} // namespace laburnumreach::overload

#endif
