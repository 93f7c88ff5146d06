#ifndef LABURNUMREACH_STANDIN_SLOT_QUEUE_HPP
#define LABURNUMREACH_STANDIN_SLOT_QUEUE_HPP

#include "laburnumreach/standin/connection.hpp"

#include <cstddef>
#include <list>
#include <mutex>

namespace laburnumreach::standin
{

/// Gives a fixed number of slots to requests in the order of their arrival. Thread safe.
class slot_queue
{
public:
    /// Numbers at one moment.
    struct occupancy
    {
        std::size_t busy = 0;
        std::size_t waiting = 0;
        std::size_t most_busy = 0;
        std::size_t most_waiting = 0;
    };

    explicit slot_queue(std::size_t slots) : capacity(slots) {}

    /// Waits for a slot.
    /// @returns false, without a slot, when the caller closed its connection
    bool acquire(const connection& caller);

    /// Gives the slot to the next waiting request.
    void release();

    /// Returns the current numbers.
    occupancy now() const;

private:
    struct ticket
    {
        const connection* caller = nullptr;
        bool granted = false;
    };

    const std::size_t capacity;
    mutable std::mutex mutex;
    std::list<ticket*> waiting;
    occupancy numbers;
};

} // namespace laburnumreach::standin

#endif
