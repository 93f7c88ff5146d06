#include "laburnumreach/overload/naive_scheduler.hpp"

#include <cassert>

namespace laburnumreach::overload
{

submit_result naive_scheduler::submit(core::time_point now, queued_call call, core::time_point /*deadline*/)
{
    submit_result result;
    if (this->waiting.empty() && this->running < this->slots)
    {
        ++this->running;
        result.decision = submit_result::action::start;
    }
    else if (this->waiting.size() < this->slots * queue_per_slot)
    {
        call.enqueued = now;
        this->waiting.push_back(call);
        result.decision = submit_result::action::queued;
        result.ticket = {.index = 0, .generation = ++this->generation};
    }
    else
    {
        result.why = core::reason::queue_full;
    }
    return result;
}

std::optional<dequeued_call> naive_scheduler::next(core::time_point /*now*/)
{
    if (this->waiting.empty() || this->running >= this->slots)
    {
        return std::nullopt;
    }
    ++this->running;
    const queued_call call = this->waiting.front();
    this->waiting.pop_front();
    return dequeued_call{call, core::reason::none};
}

void naive_scheduler::finish(core::time_point /*now*/, const run_observation& /*run*/)
{
    assert(this->running > 0);
    --this->running;
}

} // namespace laburnumreach::overload
