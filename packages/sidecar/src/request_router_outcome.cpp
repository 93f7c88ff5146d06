#include "laburnumreach/sidecar/call_reasons.hpp"
#include "laburnumreach/sidecar/http_status.hpp"
#include "laburnumreach/sidecar/request_router.hpp"
#include "laburnumreach/sidecar/wire_text.hpp"

// How a request ends: retry, response or refusal.
namespace laburnumreach::sidecar
{

/// Sends a call to another instance if its route and the retry budget allow it; otherwise ends it with an
/// error.
void request_router::retry_or_fail(routed_call& call, bool may_have_run, std::string_view reason)
{
    const core::time_point now = core::boot_clock::now();
    call.may_have_run = call.may_have_run || may_have_run;
    call.last_reason = reason;
    if (!call.daemon_id.empty())
    {
        ++call.instances_used;
        call.tried_daemons.push_back(std::exchange(call.daemon_id, {}));
    }
    const bool allowed = (!call.may_have_run || call.message.idempotent) && call.instances_used > 0 &&
                         call.instances_used < call.max_instances && now < call.deadline;
    const std::string* daemon_id = allowed ? this->choose_daemon(call) : nullptr;
    const retry_budget_options budget =
        make_retry_budget(this->settings.retries,
                          this->overload_shedder.makes_nested_calls(call.message.route), this->daemon_count);
    if (daemon_id != nullptr && this->retry_budgets[call.message.service].try_take(budget, now))
    {
        call.message.is_retry = true;
        this->counters.count("repeats_total", reason);
        this->send(call, *daemon_id);
        return;
    }
    if (call.may_have_run)
    {
        this->refuse_call(
            call, now >= call.deadline ? http_status::gateway_timeout : http_status::bad_gateway, reason);
        return;
    }
    this->refuse_call(call, http_status::unavailable, reason, this->retry_delay(call.latency_objective));
}

void request_router::end_all_calls()
{
    this->ended = true;
    while (!this->calls.empty())
    {
        routed_call& call = this->calls.begin()->second;
        const bool may_have_run = call.may_have_run || !call.daemon_id.empty();
        this->cancel_at_daemon(call);
        this->refuse_call(call, may_have_run ? http_status::bad_gateway : http_status::unavailable,
                          call_reason::daemon_stopping);
    }
}

void request_router::respond(routed_call& call, http_response response, std::string_view outcome)
{
    const core::duration elapsed = core::boot_clock::now() - call.received;
    this->counters.request_latency.add(to_ms(elapsed));
    this->counters.count("requests_total", outcome);
    if (outcome != "refused" || response.status == http_status::gateway_timeout)
    {
        this->response_times[call.message.route].record(elapsed);
    }
    this->by_deadline.erase({call.deadline, call.id});
    this->unplaced.erase(call.id);
    this->calls_by_send.erase(call.message.id);
    if (response.status >= http_status::first_server_error || elapsed > call.latency_objective)
    {
        this->events.request_event("request_ended",
                                   {{"request", call.message.attempt_id},
                                    {"route", call.message.route},
                                    {"service", call.message.service},
                                    {"config", std::to_string(this->config->version())},
                                    {"status", std::to_string(response.status)},
                                    {"outcome", std::string{outcome}},
                                    {"reason", call.last_reason},
                                    {"peer", call.daemon_id},
                                    {"placements", std::to_string(call.tried_daemons.size() + 1)},
                                    {"took_ms", std::to_string(to_ms(elapsed))}});
    }
    const std::shared_ptr<exchange> request = std::move(call.request);
    this->calls.erase(call.id);
    request->respond(std::move(response));
}

void request_router::refuse_call(routed_call& call, int status, std::string_view reason,
                                 core::duration retry_after)
{
    http_response response{.status = status,
                           .fields = this->settings.names.attempt_id + ": " + call.message.attempt_id +
                                     "\r\n" + retry_after_field(retry_after)};
    call.last_reason = reason;
    if (status == http_status::unavailable)
    {
        this->admissions.refund(call.customer); // Status 503 states that the request has not run.
    }
    this->counters.count("refusals_total", reason);
    this->respond(call, std::move(response), "refused");
}

void request_router::refuse_request(exchange& request, int status, std::string_view reason,
                                    core::duration retry_after)
{
    const std::string attempt_id{http::find_header(request.head.headers, this->settings.names.attempt_id)};
    this->counters.count("refusals_total", reason);
    this->events.request_event(
        "request_refused",
        {{"request", attempt_id},
         {"status", std::to_string(status)},
         {"reason", std::string{reason}},
         {"host", std::string{http::find_header(request.head.headers, "Host")}},
         {"target", request.head.target},
         {"config", std::to_string(this->config == nullptr ? 0 : this->config->version())}});
    request.respond({.status = status,
                     .fields = this->settings.names.attempt_id + ": " + attempt_id + "\r\n" +
                               retry_after_field(retry_after)});
}

} // namespace laburnumreach::sidecar
