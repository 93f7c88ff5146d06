#ifndef LABURNUMREACH_FLEET_EVENT_QUEUE_HPP
#define LABURNUMREACH_FLEET_EVENT_QUEUE_HPP

#include "laburnumreach/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace laburnumreach::fleet
{

/// Runs actions in the order of virtual time; actions at the same time run in the order they were added.
class event_queue
{
public:
    using action = std::function<void()>;

    /// Returns the virtual time.
    core::time_point now() const { return this->time; }

    /// Runs an action after a delay.
    void after(core::duration delay, action run)
    {
        this->events.push_back({this->time + delay, this->added++, std::move(run)});
        std::push_heap(this->events.begin(), this->events.end());
    }

    /// Runs the next action if it is due before the given time.
    /// @returns whether an action ran; if not, the virtual time is the given time
    bool step(core::time_point until)
    {
        if (this->events.empty() || this->events.front().due >= until)
        {
            this->time = until;
            return false;
        }
        std::pop_heap(this->events.begin(), this->events.end());
        const event next = std::move(this->events.back());
        this->events.pop_back();
        this->time = next.due;
        next.run();
        return true;
    }

private:
    struct event
    {
        core::time_point due;
        std::uint64_t order;
        action run;

        // The heap keeps the greatest on top, so the earliest compares greatest.
        bool operator<(const event& other) const
        {
            return std::pair{other.due, other.order} < std::pair{this->due, this->order};
        }
    };

    core::time_point time{std::chrono::hours{1}};
    std::uint64_t added = 0;
    std::vector<event> events;
};

} // namespace laburnumreach::fleet

#endif
