#ifndef LABURNUMREACH_POLICY_BENCH_EVENT_LOOP_HPP
#define LABURNUMREACH_POLICY_BENCH_EVENT_LOOP_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <stdexcept>
#include <utility>
#include <vector>

namespace laburnumreach::policy_bench
{

/// Runs events in the order of virtual time; events of the same time run in the order of their scheduling.
class event_loop
{
public:
    /// Bounds a run whose load grows without limit.
    static constexpr std::uint64_t max_events = 100'000'000;

    core::time_point now() const noexcept { return this->current; }

    /// Schedules an event.
    /// @param delay not negative
    void after(core::duration delay, std::function<void()> action)
    {
        this->events.push({this->current + delay, this->scheduled++, std::move(action)});
    }

    /// Runs all events up to a time.
    /// @throws std::runtime_error after max_events
    void run_until(core::time_point end)
    {
        while (!this->events.empty() && this->events.top().when <= end)
        {
            if (++this->executed > max_events)
            {
                throw std::runtime_error("the run exceeds the bound on events");
            }
            // top() is const; the action is moved out because the event is removed at once.
            auto action = std::move(const_cast<event&>(this->events.top()).action);
            this->current = this->events.top().when;
            this->events.pop();
            action();
        }
        this->current = end;
    }

private:
    struct event
    {
        core::time_point when;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair{other.when, other.order} < std::pair{this->when, this->order};
        }
    };

    // Starts above zero, since components take a zero time point as "never".
    core::time_point current{std::chrono::seconds{1}};
    std::priority_queue<event> events;
    std::uint64_t scheduled = 0;
    std::uint64_t executed = 0;
};

} // namespace laburnumreach::policy_bench

#endif
