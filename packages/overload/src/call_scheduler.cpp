#include "laburnumreach/overload/call_scheduler.hpp"

namespace laburnumreach::overload
{

call_scheduler::call_scheduler(std::uint32_t slots, const scheduler_options& options)
    : limit(slots, options.limiter), queue(options.queue), admission(options.admission)
{
}

void call_scheduler::update(core::time_point now)
{
    instance_load load;
    for (std::size_t i = 0; i < load.waiting.size(); ++i)
    {
        load.waiting[i] = this->queue.size(static_cast<core::priority_class>(i));
    }
    load.has_room = this->limit.has_room();
    this->admission.update(now, load);
}

submit_result call_scheduler::submit(core::time_point now, queued_call call, core::time_point deadline)
{
    const core::duration service =
        this->service_times[static_cast<std::size_t>(call.position.cls)].expected(now);
    call.latest_start = deadline - service;
    call.enqueued = now;
    this->admission.record_arrival(call.position, call.offered_ratio);
    submit_result result;
    if (call.latest_start < now)
    {
        result.why = core::reason::deadline_unmeetable;
    }
    else if (this->queue.empty() && this->limit.try_start())
    {
        this->admission.record_start();
        result.decision = submit_result::action::start;
    }
    else
    {
        const push_result pushed = this->queue.push(call);
        result.evicted = pushed.evicted;
        if (pushed.ticket)
        {
            result.decision = submit_result::action::queued;
            result.ticket = *pushed.ticket;
        }
        else
        {
            result.why = core::reason::queue_full;
        }
    }
    this->update(now);
    return result;
}

std::optional<dequeued_call> call_scheduler::next(core::time_point now)
{
    if (const auto late = this->queue.expire(now))
    {
        this->update(now);
        return dequeued_call{*late, core::reason::deadline_unmeetable};
    }
    if (this->queue.empty() || !this->limit.try_start())
    {
        this->update(now);
        return std::nullopt;
    }
    const auto call = this->queue.pop();
    this->admission.record_start();
    this->update(now);
    return dequeued_call{*call, core::reason::none};
}

bool call_scheduler::cancel(core::time_point now, queue_ticket ticket)
{
    const bool removed = this->queue.remove(ticket).has_value();
    this->update(now);
    return removed;
}

void call_scheduler::finish(core::time_point now, const run_observation& run)
{
    this->limit.finish(now, run.total_latency - run.nested_latency, run.result);
    if (run.result == upstream_result::success)
    {
        this->service_times[static_cast<std::size_t>(run.cls)].add(now, run.total_latency);
    }
    this->update(now);
}

void call_scheduler::begin_nested_wait(core::time_point now)
{
    this->limit.begin_nested_wait();
    this->update(now);
}

void call_scheduler::end_nested_wait(core::time_point now)
{
    this->limit.end_nested_wait();
    this->update(now);
}

void call_scheduler::announce(core::time_point now, std::uint32_t slots, double load)
{
    this->limit.set_slots(slots);
    this->limit.report_load(now, load);
    this->update(now);
}

load_feedback call_scheduler::feedback(core::time_point now, admission_level dependency_level)
{
    this->update(now);
    return {.own_level = this->admission.level(),
            .dependency_level = dependency_level,
            .queue_delay = std::chrono::ceil<std::chrono::milliseconds>(this->admission.queue_delay())};
}

} // namespace laburnumreach::overload
