#include "laburnumreach/daemon/upstream_gateway.hpp"

#include "laburnumreach/daemon/message_headers.hpp"

#include <algorithm>

namespace laburnumreach::daemon
{

namespace
{

/// How often a queued call looks for a gone caller.
constexpr std::chrono::milliseconds queue_poll_interval{50};

overload::upstream_result to_upstream_result(const http::exchange_result& exchange, bool caused_by_dependency,
                                             bool silent)
{
    if (exchange.complete())
    {
        return caused_by_dependency ? overload::upstream_result::ignored : overload::upstream_result::success;
    }
    if (exchange.error == http::exchange_error::cancelled && !silent)
    {
        return overload::upstream_result::ignored;
    }
    return overload::upstream_result::failure;
}

core::verdict refusal(core::reason why)
{
    return {.result = core::outcome::not_run, .why = why};
}

} // namespace

upstream_gateway::upstream_gateway(const upstream_gateway_options& gateway, http::client_pool& connections,
                                   handle_registry& registry, exchange_watch& silent_watch,
                                   dependency_level_function level)
    : options(gateway),
      pool(connections),
      handles(registry),
      watch(silent_watch),
      dependency_level(std::move(level))
{
}

core::result<void> upstream_gateway::announce(core::time_point now, const announcement& value)
{
    const std::lock_guard lock{this->mutex};
    if (value.zone != this->options.zone)
    {
        return core::make_error(core::error_code::invalid_argument,
                                "the daemon serves zone " + this->options.zone);
    }
    const bool same_process = this->last.instance == value.instance && this->last.service == value.service &&
                              this->last.address == value.address;
    if (this->announced && !same_process)
    {
        return core::make_error(core::error_code::conflict,
                                "instance " + this->last.instance + " is beside this daemon");
    }
    if (!this->control)
    {
        // Kept for later processes of the upstream, since calls of a former one may still be running.
        overload::scheduler_options exit;
        exit.queue.capacity = this->options.queue_capacity;
        this->control = std::make_unique<overload::call_scheduler>(value.slots, exit);
    }
    this->last = value;
    this->announced = true;
    this->announced_at = now;
    this->control->announce(now, value.slots, value.load);
    this->start_waiting_calls(now);
    return {};
}

void upstream_gateway::tick(core::time_point now)
{
    const std::lock_guard lock{this->mutex};
    if (this->announced && now - this->announced_at >= this->options.announcement_timeout)
    {
        this->announced = false;
    }
    this->start_waiting_calls(now);
}

void upstream_gateway::set_drained(bool value)
{
    const std::lock_guard lock{this->mutex};
    this->drained = value;
}

upstream_state upstream_gateway::state() const
{
    const std::lock_guard lock{this->mutex};
    if (!this->announced)
    {
        return {};
    }
    const bool draining = this->drained || this->last.draining;
    return {.service = this->last.service,
            .instance = this->last.instance,
            .slots = this->last.slots,
            .state = draining ? membership::instance_state::draining : membership::instance_state::ready};
}

http::endpoint upstream_gateway::address() const
{
    const std::lock_guard lock{this->mutex};
    return this->last.address;
}

upstream_gateway::gauges upstream_gateway::current() const
{
    const std::lock_guard lock{this->mutex};
    if (!this->control)
    {
        return {};
    }
    return {.in_flight = this->control->limiter().in_flight(),
            .limit = this->control->limiter().limit(),
            .queued = this->control->queue_length()};
}

call_outcome upstream_gateway::run(const std::shared_ptr<call_context>& call,
                                   const forwarded_request& request)
{
    http::endpoint upstream;
    {
        std::unique_lock lock{this->mutex};
        core::verdict waited;
        if (const core::reason why = this->unavailable_reason(); why != core::reason::none)
        {
            waited = refusal(why);
        }
        else
        {
            waited = this->wait_for_slot(lock, *call, request);
        }
        if (waited.why != core::reason::none)
        {
            return {.verdict = waited, .report = this->report(core::boot_clock::now(), *call), .answer = {}};
        }
        upstream = this->last.address;
    }
    return this->execute(call, request, upstream);
}

core::reason upstream_gateway::unavailable_reason() const
{
    if (!this->announced || !this->control)
    {
        return core::reason::no_instance;
    }
    return this->drained || this->last.draining ? core::reason::draining : core::reason::none;
}

core::verdict upstream_gateway::wait_for_slot(std::unique_lock<std::mutex>& lock, const call_context& call,
                                              const forwarded_request& request)
{
    const core::time_point now = core::boot_clock::now();
    const std::uint64_t id = this->next_id++;
    const overload::queued_call queued{.id = id,
                                       .tenant = request.tenant_number,
                                       .weight = request.tenant_weight,
                                       .position = call.position,
                                       .offered_ratio = call.offered_ratio,
                                       .depth = call.depth};
    const overload::submit_result submitted = this->control->submit(now, queued, call.deadline);
    if (submitted.evicted)
    {
        this->decide(submitted.evicted->id, core::reason::queue_full);
    }
    core::verdict result;
    switch (submitted.decision)
    {
    case overload::submit_result::action::start:
        break;
    case overload::submit_result::action::refused:
        result = refusal(submitted.why);
        break;
    case overload::submit_result::action::queued:
        result = this->wait_in_queue(lock, call, request, id, submitted.ticket);
        break;
    }
    this->start_waiting_calls(core::boot_clock::now());
    return result;
}

core::verdict upstream_gateway::wait_in_queue(std::unique_lock<std::mutex>& lock, const call_context& call,
                                              const forwarded_request& request, std::uint64_t id,
                                              overload::queue_ticket ticket)
{
    waiter own;
    this->waiters.emplace(id, &own);
    this->start_waiting_calls(core::boot_clock::now());
    while (!own.decided)
    {
        own.changed.wait_for(lock, queue_poll_interval);
        if (own.decided)
        {
            break;
        }
        core::reason cancelled = call.cancellation.why();
        if (cancelled == core::reason::none && request.caller_gone && request.caller_gone())
        {
            cancelled = core::reason::cancelled;
        }
        const core::time_point now = core::boot_clock::now();
        if (cancelled != core::reason::none && this->control->cancel(now, ticket))
        {
            own.decided = true;
            own.why = cancelled;
        }
        this->start_waiting_calls(now);
    }
    this->waiters.erase(id);
    return own.why == core::reason::none ? core::verdict{} : refusal(own.why);
}

call_outcome upstream_gateway::execute(const std::shared_ptr<call_context>& call,
                                       const forwarded_request& request, const http::endpoint& upstream)
{
    const core::time_point started = core::boot_clock::now();
    const std::string handle = this->handles.add(call);
    const http::headers headers = upstream_headers(*call, *request.headers, handle, started);

    http::cancellation control;
    const call_cancellation::registration cancel{call->cancellation, control};
    exchange_watch::observation observation{this->watch, to_string(upstream) + call->route, control, started};
    const http::outgoing_request outgoing{.method = request.method,
                                          .target = request.target,
                                          .headers = &headers,
                                          .body = request.body,
                                          .deadline = call->deadline,
                                          .cancel_on_hangup = request.caller_descriptor};
    http::exchange_result exchange = this->pool.send(upstream, outgoing, &control);
    this->handles.remove(handle);

    const core::time_point ended = core::boot_clock::now();
    const core::reason reported = take_reported_reason(exchange.answer.headers);
    if (exchange.complete())
    {
        observation.answered(ended);
    }
    core::verdict verdict = exchange.verdict();
    if (verdict.why == core::reason::cancelled)
    {
        const core::reason why = call->cancellation.why();
        verdict.why = observation.silent() ? core::reason::upstream_silent
                                           : (why == core::reason::none ? core::reason::cancelled : why);
    }
    if (verdict.result != core::outcome::ran)
    {
        // Nobody waits for the nested calls of a failed call any more.
        call->cancellation.cancel(verdict.why);
    }
    const auto result = to_upstream_result(exchange, reported != core::reason::none, observation.silent());
    const std::lock_guard lock{this->mutex};
    this->finish(*call, started, result);
    return {.verdict = verdict, .report = this->report(ended, *call), .answer = std::move(exchange.answer)};
}

void upstream_gateway::finish(call_context& call, core::time_point started, overload::upstream_result result)
{
    const core::time_point now = core::boot_clock::now();
    core::duration nested{0};
    {
        const std::lock_guard call_lock{call.mutex};
        call.finished = true;
        if (call.nested_running > 0)
        {
            call.nested_total += now - call.nested_since;
            this->control->end_nested_wait(now);
        }
        nested = call.nested_total;
    }
    this->control->finish(now, {.cls = call.position.cls,
                                .total_latency = now - started,
                                .nested_latency = nested,
                                .result = result});
    this->start_waiting_calls(now);
}

hop_report upstream_gateway::report(core::time_point now, call_context& call)
{
    hop_report result;
    if (this->control)
    {
        result.load = this->control->feedback(now, this->dependency_level(call.route));
    }
    const std::lock_guard call_lock{call.mutex};
    result.unused_attempts = call.attempts.remaining();
    result.nested = call.nested_total;
    return result;
}

void upstream_gateway::begin_nested(call_context& call)
{
    const std::lock_guard lock{this->mutex};
    const std::lock_guard call_lock{call.mutex};
    if (call.nested_running++ == 0 && !call.finished)
    {
        call.nested_since = core::boot_clock::now();
        this->control->begin_nested_wait(call.nested_since);
        this->start_waiting_calls(call.nested_since);
    }
}

void upstream_gateway::end_nested(call_context& call)
{
    const std::lock_guard lock{this->mutex};
    const std::lock_guard call_lock{call.mutex};
    if (--call.nested_running == 0 && !call.finished)
    {
        const core::time_point now = core::boot_clock::now();
        call.nested_total += now - call.nested_since;
        this->control->end_nested_wait(now);
        this->start_waiting_calls(now);
    }
}

void upstream_gateway::start_waiting_calls(core::time_point now)
{
    if (!this->control)
    {
        return;
    }
    while (const std::optional<overload::dequeued_call> exit = this->control->next(now))
    {
        this->decide(exit->call.id, exit->why);
    }
}

void upstream_gateway::decide(std::uint64_t id, core::reason why)
{
    const auto found = this->waiters.find(id);
    if (found == this->waiters.end())
    {
        return;
    }
    found->second->decided = true;
    found->second->why = why;
    found->second->changed.notify_one();
}

} // namespace laburnumreach::daemon
