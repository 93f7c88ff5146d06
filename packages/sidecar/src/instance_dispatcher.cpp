#include "laburnumreach/sidecar/instance_dispatcher.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"
#include "laburnumreach/sidecar/http_status.hpp"
#include "laburnumreach/sidecar/wire_text.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

instance_dispatcher::instance_dispatcher(asio::io_context& context, options initial_settings,
                                         instance_state& state, event_log& log, sidecar_metrics& metrics)
    : io(context), settings(std::move(initial_settings)), instance(state), events(log), counters(metrics)
{
}

std::uint32_t instance_dispatcher::usable_slots() const
{
    if (!this->instance.instance())
    {
        return 0;
    }
    const auto slots = static_cast<double>(this->instance.instance()->slots);
    return std::max(1U, static_cast<std::uint32_t>(slots * max_slot_utilization));
}

core::duration instance_dispatcher::expected_run_time() const
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>{this->mean_run_ms});
}

/// @param run_time duration of a run until it ended or was aborted
void instance_dispatcher::record_run_time(core::duration run_time, core::time_point now)
{
    constexpr double weight = 0.05; // Averages over about 20 runs.
    const double run_ms = std::chrono::duration<double, std::milli>(run_time).count();
    this->mean_run_ms += weight * (run_ms - this->mean_run_ms);
    this->run_time_updated = now;
}

/// Reduces the mean run time while the instance is idle, so that an instance that was slow gets calls again.
void instance_dispatcher::decay_mean_run_time(core::time_point now)
{
    constexpr core::duration hold_time = std::chrono::seconds{1};
    constexpr double decay_factor = 0.9;
    constexpr core::duration decay_interval = std::chrono::milliseconds{100};
    if (this->running == 0 && now - this->run_time_updated > hold_time)
    {
        this->mean_run_ms *= decay_factor;
        this->run_time_updated = now - hold_time + decay_interval;
    }
}

instance_dispatcher::ticket instance_dispatcher::submit(call_message call, reply_handler handler)
{
    const core::time_point now = core::boot_clock::now();
    const ticket id = this->next_ticket++;
    open_call& entry = this->calls[id];
    entry.message = std::move(call);
    const std::size_t bytes = entry.message.body.size() + entry.message.fields.size();
    entry.memory = {this->settings.memory,
                    bytes > small_body_bytes ? memory_use::large_body : memory_use::other};
    entry.memory.resize(bytes);
    entry.handler = std::move(handler);
    entry.arrived = now;
    entry.deadline = now + std::chrono::milliseconds{entry.message.remaining_ms};
    this->counters.count("exit_calls_total", entry.message.is_retry ? "retry" : "first");

    const std::optional<instance_heartbeat>& current = this->instance.instance();
    std::string_view refusal;
    if (this->refusing_new_calls)
    {
        refusal = call_reason::daemon_stopping;
    }
    else if (!current)
    {
        refusal = call_reason::no_instance;
    }
    else if (current->service != entry.message.service)
    {
        refusal = call_reason::other_service;
    }
    else if (!this->instance.accepts_work() && !this->is_in_drain_time(now))
    {
        refusal = call_reason::instance_leaving;
    }
    else if (now < this->connect_blocked_until)
    {
        refusal = call_reason::instance_down;
    }
    if (!refusal.empty())
    {
        this->refuse(id, refusal);
        return id;
    }
    const waiting_call queued{.key = id,
                              .priority = entry.message.priority,
                              .nested = entry.message.nested,
                              .arrived = now,
                              .latest_start = entry.deadline - this->expected_run_time()};
    if (!this->can_start_in_time(queued, now))
    {
        this->refuse(id, call_reason::queue_full);
        return id;
    }
    this->queue.push(queued);
    if (this->queue.size() > std::size_t{max_queued_per_slot} * this->usable_slots())
    {
        this->refuse(this->queue.pop_least_important()->key, call_reason::queue_full);
    }
    this->post_start_queued();
    return id;
}

/// Returns whether the instance began to leave so recently that it still gets calls.
bool instance_dispatcher::is_in_drain_time(core::time_point now) const
{
    return this->leaving_since && now - *this->leaving_since <= this->settings.drain_limit;
}

/// Returns whether a call is expected to get a slot before its latest start. Nested calls are always queued:
/// the estimate may be wrong, and refusing one also wastes the run that made it.
bool instance_dispatcher::can_start_in_time(const waiting_call& call, core::time_point now) const
{
    if (call.nested || this->running < this->usable_slots())
    {
        return true;
    }
    const core::duration start_interval = this->expected_run_time() / this->usable_slots();
    return now + this->queue.expected_wait(call, start_interval) <= call.latest_start;
}

/// Starts queued calls after the current event handler, so that a cancellation that arrived together with its
/// call still prevents the start.
void instance_dispatcher::post_start_queued()
{
    if (std::exchange(this->start_posted, true))
    {
        return;
    }
    asio::post(this->io,
               [this]
               {
                   this->start_posted = false;
                   this->start_queued();
               });
}

cancel_result instance_dispatcher::cancel(ticket id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
    {
        return this->ended_calls.contains(id) ? cancel_result::continues : cancel_result::unknown;
    }
    open_call& call = found->second;
    if (call.connection == nullptr)
    {
        this->queue.remove(id);
        this->calls.erase(found);
        this->counters.count("exit_cancelled_total", "waiting");
        return cancel_result::never_starts;
    }
    if (!call.message.idempotent)
    {
        return cancel_result::continues;
    }
    call.connection->close();
    this->calls.erase(found);
    --this->running;
    this->counters.count("exit_cancelled_total", "running");
    this->start_queued();
    return cancel_result::aborted;
}

void instance_dispatcher::tick(core::time_point now)
{
    while (const std::optional<waiting_call> expired = this->queue.pop_expired(now))
    {
        this->refuse(expired->key, call_reason::deadline);
    }
    if (this->instance.is_leaving() && !this->queue.empty() && !this->is_in_drain_time(now))
    {
        this->refuse_all_queued(call_reason::instance_leaving);
    }
    if (now - this->last_check >= check_interval)
    {
        this->last_check = now;
        this->end_overdue_calls(now);
        this->close_unusable_connections(now);
    }
    this->decay_mean_run_time(now);
    this->start_queued();
}

/// The instance enforces the deadline itself; this ends calls that it did not answer.
void instance_dispatcher::end_overdue_calls(core::time_point now)
{
    constexpr core::duration deadline_margin = std::chrono::milliseconds{150};
    std::vector<ticket> overdue;
    for (const auto& [id, call] : this->calls)
    {
        if (call.connection != nullptr && now > call.deadline + deadline_margin)
        {
            overdue.push_back(id);
        }
    }
    for (const ticket id : overdue)
    {
        const open_call& call = this->calls.at(id);
        this->record_run_time(now - call.started, now);
        call.connection->close();
        --this->running;
        this->finish(id, {.kind = static_cast<std::uint8_t>(reply_kind::failed),
                          .reason = std::string{call_reason::deadline}});
    }
}

void instance_dispatcher::close_unusable_connections(core::time_point now)
{
    std::erase_if(this->idle_connections,
                  [now](const std::shared_ptr<instance_connection>& connection)
                  {
                      const bool expired = !connection->reusable(now);
                      if (expired)
                      {
                          connection->close();
                      }
                      return expired;
                  });
}

void instance_dispatcher::on_instance_changed()
{
    if (this->instance.accepts_work())
    {
        this->leaving_since.reset();
        this->gave_work = true;
    }
    else if (std::exchange(this->gave_work, false))
    {
        // Calls that were sent before the senders learned of the departure still run. If this process never
        // gave the instance work, the departure may have been acknowledged long ago.
        this->leaving_since = core::boot_clock::now();
    }
    this->connect_blocked_until = {};
    for (const auto& connection : std::exchange(this->idle_connections, {}))
    {
        connection->close();
    }
    this->start_queued();
}

instance_status instance_dispatcher::status() const
{
    const core::time_point now = core::boot_clock::now();
    instance_status state;
    if (const auto& current = this->instance.instance())
    {
        state.instance_id = current->id;
        state.service = current->service;
        state.accepts_work =
            this->instance.accepts_work() && now >= this->connect_blocked_until && !this->draining;
        state.slots = this->usable_slots();
    }
    state.running = this->running;
    state.queued = static_cast<std::uint32_t>(this->queue.size());
    const auto oldest = this->queue.oldest_arrival();
    state.queue_delay_ms = to_ms(oldest ? std::max(this->last_queue_wait, now - *oldest) : core::duration{});
    state.run_ms = static_cast<std::uint32_t>(this->mean_run_ms);
    return state;
}

void instance_dispatcher::start_queued()
{
    while (!this->queue.empty() && this->running < this->usable_slots())
    {
        const ticket next = this->queue.pop()->key;
        if (this->is_expected_to_end_late(this->calls.at(next)))
        {
            this->refuse(next, call_reason::daemon_stopping);
            continue;
        }
        this->start(next);
    }
}

/// Returns whether a call that starts now is expected to run until this daemon has ended, which cuts it off.
bool instance_dispatcher::is_expected_to_end_late(const open_call& call) const
{
    if (!this->stop_end.is_set())
    {
        return false;
    }
    const core::duration expected =
        std::max(this->expected_run_time(), this->run_times.upper_bound().value_or(core::duration{}));
    return this->stop_end.cuts_off(core::boot_clock::now(), expected, call.deadline);
}

bool instance_dispatcher::has_run_until(core::time_point deadline) const
{
    constexpr core::duration tolerance = std::chrono::milliseconds{250}; // Time of the messages.
    return std::any_of(this->calls.begin(), this->calls.end(),
                       [&](const auto& entry)
                       {
                           const open_call& call = entry.second;
                           return call.connection != nullptr && call.stated_deadline + tolerance >= deadline;
                       });
}

std::shared_ptr<instance_connection> instance_dispatcher::take_connection()
{
    const core::time_point now = core::boot_clock::now();
    while (!this->idle_connections.empty())
    {
        std::shared_ptr<instance_connection> connection = std::move(this->idle_connections.back());
        this->idle_connections.pop_back();
        if (connection->reusable(now) && connection->has_nothing_to_read())
        {
            return connection;
        }
        connection->close();
    }
    this->counters.count("instance_connections_total");
    return std::make_shared<instance_connection>(
        this->io, instance_connection::options{.address = this->settings.instance_address,
                                               .allowance = this->allowance,
                                               .attempt_id_field = this->settings.names.attempt_id});
}

std::string instance_dispatcher::format_request(const open_call& call, core::time_point now) const
{
    const call_message& message = call.message;
    std::string text = message.method + ' ' + message.target + " HTTP/1.1\r\n" + message.fields;
    text += this->settings.names.expected_instance + ": " + this->instance.instance()->id + "\r\n";
    text +=
        this->settings.names.deadline_ms + ": " + std::to_string(to_ms(call.stated_deadline - now)) + "\r\n";
    if (!message.body.empty() || (message.method != "GET" && message.method != "HEAD"))
    {
        text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    text += "\r\n";
    text.reserve(text.size() + message.body.size());
    text += message.body;
    return text;
}

void instance_dispatcher::start(ticket id)
{
    open_call& call = this->calls.at(id);
    const core::time_point now = core::boot_clock::now();
    call.started = now;
    call.stated_deadline = this->stop_end.limit(call.deadline);
    this->last_queue_wait = now - call.arrived;
    this->counters.queue_wait.add(to_ms(this->last_queue_wait));
    ++this->running;
    ++this->run_starts[call.message.route];
    call.connection = this->take_connection();
    std::string request = this->format_request(call, now);
    call.message.body.clear();
    call.message.body.shrink_to_fit();
    // The connection owns the handler, so the handler must not own the connection.
    call.connection->run(std::move(request), call.message.attempt_id, call.message.method == "HEAD",
                         [this, id](instance_result result) { this->on_result(id, std::move(result)); });
}

void instance_dispatcher::on_result(ticket id, instance_result result)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
    {
        return;
    }
    const core::time_point now = core::boot_clock::now();
    const std::shared_ptr<instance_connection> connection = found->second.connection;
    --this->running;
    const core::duration run_time = now - found->second.started;
    if (result.outcome == instance_outcome::complete)
    {
        this->counters.run_latency.add(to_ms(run_time));
        this->record_run_time(run_time, now);
        this->run_times.record(run_time);
        // The instance may have responded before it read the whole request; reusable() is checked before
        // reuse.
        if (connection->is_open() && this->idle_connections.size() < max_idle_connections)
        {
            connection->watch_idle();
            this->idle_connections.push_back(connection);
        }
        else
        {
            connection->close();
        }
    }
    if (result.outcome == instance_outcome::connect_failed)
    {
        this->connect_blocked_until = now + connect_retry_delay;
        this->events.state_event("instance_unreachable", {{"detail", result.detail}});
        this->counters.count("instance_connect_failures_total");
        this->refuse(id, call_reason::instance_down);
        this->refuse_all_queued(call_reason::instance_down);
        return;
    }
    this->finish(id, this->make_reply(found->second, result));
    this->start_queued();
}

reply_message instance_dispatcher::make_reply(const open_call& call, instance_result& result) const
{
    reply_message reply;
    if (result.outcome == instance_outcome::broken)
    {
        reply.kind = static_cast<std::uint8_t>(reply_kind::failed);
        reply.reason = result.detail;
        return reply;
    }
    const header_names& names = this->settings.names;
    const http::headers& fields = result.head.headers;
    reply.status = static_cast<std::uint16_t>(result.head.status);
    if (fields.contains(names.not_executed) || result.head.status == http_status::misdirected)
    {
        if (!result.is_own)
        {
            // It may be an earlier refusal that the instance repeated, while it runs the request.
            reply.kind = static_cast<std::uint8_t>(reply_kind::failed);
            reply.reason = call_reason::refusal_without_id;
            return reply;
        }
        reply.kind = static_cast<std::uint8_t>(reply_kind::rejected);
        reply.reason = result.head.status == http_status::misdirected ? call_reason::other_instance
                                                                      : call_reason::instance_rejected;
        return reply;
    }
    if (!fields.contains(names.signature) || fields.contains("Content-Encoding") ||
        http::find_header(fields, names.attempt_id) != call.message.attempt_id)
    {
        reply.kind = static_cast<std::uint8_t>(reply_kind::failed);
        reply.reason = "response not made by the instance";
        return reply;
    }
    const bool ended_for_stop = call.stated_deadline < call.deadline &&
                                core::boot_clock::now() >= call.stated_deadline &&
                                result.head.status >= http_status::first_server_error;
    if (ended_for_stop && call.message.idempotent)
    {
        // Its own deadline is later, so that it may be sent to another instance.
        reply.kind = static_cast<std::uint8_t>(reply_kind::failed);
        reply.reason = call_reason::daemon_stopping;
        return reply;
    }
    reply.kind = static_cast<std::uint8_t>(reply_kind::response);
    result.head.headers.erase(names.load);
    reply.fields = end_to_end_fields(std::move(result.head.headers));
    reply.body = std::move(result.body);
    return reply;
}

void instance_dispatcher::finish(ticket id, reply_message reply)
{
    auto node = this->calls.extract(id);
    open_call& call = node.mapped();
    reply.id = call.message.id;
    reply.load = this->status();
    if (reply.kind != static_cast<std::uint8_t>(reply_kind::response))
    {
        this->counters.count("exit_refusals_total", reply.reason);
        this->events.request_event(
            "exit_no_response", {{"request", call.message.attempt_id},
                                 {"route", call.message.route},
                                 {"reason", reply.reason},
                                 {"started", call.started == core::time_point{} ? "no" : "yes"},
                                 {"waited_ms", std::to_string(to_ms(core::boot_clock::now() - call.arrived))},
                                 {"running", std::to_string(this->running)},
                                 {"queued", std::to_string(this->queue.size())}});
    }
    // Posted, so that submit() returns the ticket before the handler is called.
    this->ended_calls.insert(id);
    asio::post(this->io,
               [this, id, handler = std::move(call.handler), reply = std::move(reply)]() mutable
               {
                   this->ended_calls.erase(id);
                   handler(std::move(reply));
               });
}

void instance_dispatcher::refuse(ticket id, std::string_view reason)
{
    this->finish(id,
                 {.kind = static_cast<std::uint8_t>(reply_kind::not_started), .reason = std::string{reason}});
}

void instance_dispatcher::refuse_all_queued(std::string_view reason)
{
    while (const std::optional<waiting_call> call = this->queue.pop())
    {
        this->refuse(call->key, reason);
    }
}

} // namespace laburnumreach::sidecar
