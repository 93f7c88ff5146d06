#include "laburnumreach/standin/slot_queue.hpp"

#include <algorithm>

namespace laburnumreach::standin
{

bool slot_queue::acquire(const connection& caller)
{
    ticket own{.caller = &caller};
    {
        const std::lock_guard lock{this->mutex};
        if (this->numbers.busy < this->capacity)
        {
            ++this->numbers.busy;
            this->numbers.most_busy = std::max(this->numbers.most_busy, this->numbers.busy);
            return true;
        }
        this->waiting.push_back(&own);
        this->numbers.most_waiting = std::max(this->numbers.most_waiting, this->waiting.size());
    }
    while (true)
    {
        const bool closed = caller.wait(std::chrono::hours{1}) == connection::wake_cause::closed;
        {
            const std::lock_guard lock{this->mutex};
            if (own.granted && !closed)
            {
                return true;
            }
            if (!own.granted && closed)
            {
                this->waiting.remove(&own);
                return false;
            }
        }
        if (closed)
        {
            this->release();
            return false;
        }
    }
}

void slot_queue::release()
{
    const std::lock_guard lock{this->mutex};
    if (this->waiting.empty())
    {
        --this->numbers.busy;
        return;
    }
    ticket* const next = this->waiting.front();
    this->waiting.pop_front();
    next->granted = true;
    // Under the lock, because the ticket ends with the waiting call.
    next->caller->signal();
}

slot_queue::occupancy slot_queue::now() const
{
    const std::lock_guard lock{this->mutex};
    occupancy result = this->numbers;
    result.waiting = this->waiting.size();
    return result;
}

} // namespace laburnumreach::standin
