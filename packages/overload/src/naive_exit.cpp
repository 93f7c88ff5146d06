#include "laburnumreach/overload/naive_exit.hpp"

#include <cassert>

namespace laburnumreach::overload
{

submit_result naive_exit::submit(core::time_point now, queued_call call, core::time_point /*deadline*/)
{
    submit_result result;
    if (this->waiting.empty() && this->running < this->slots)
    {
        ++this->running;
        result.what = submit_result::action::start;
    }
    else if (this->waiting.size() < this->slots * queue_per_slot)
    {
        call.enqueued = now;
        this->waiting.push_back(call);
        result.what = submit_result::action::queued;
        result.ticket = {.index = 0, .generation = ++this->generation};
    }
    else
    {
        result.why = core::reason::queue_full;
    }
    return result;
}

std::optional<queue_exit> naive_exit::next(core::time_point /*now*/)
{
    if (this->waiting.empty() || this->running >= this->slots)
    {
        return std::nullopt;
    }
    ++this->running;
    const queued_call call = this->waiting.front();
    this->waiting.pop_front();
    return queue_exit{call, core::reason::none};
}

void naive_exit::finish(core::time_point /*now*/, const run_observation& /*run*/)
{
    assert(this->running > 0);
    --this->running;
}

} // namespace laburnumreach::overload
