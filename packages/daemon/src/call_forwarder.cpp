#include "laburnumreach/daemon/call_forwarder.hpp"

#include "laburnumreach/daemon/message_headers.hpp"
#include "laburnumreach/protocol/call_envelope.hpp"

#include <algorithm>
#include <thread>

namespace laburnumreach::daemon
{

namespace
{

overload::attempt_result to_attempt_result(const core::verdict& verdict)
{
    if (verdict.result == core::outcome::ran)
    {
        return overload::attempt_result::answered;
    }
    if (verdict.why == core::reason::cancelled || verdict.why == core::reason::key_withdrawn)
    {
        return overload::attempt_result::cancelled;
    }
    if (verdict.result == core::outcome::may_have_run)
    {
        return overload::attempt_result::broken;
    }
    return verdict.why == core::reason::connect_failed ? overload::attempt_result::connect_failed
                                                       : overload::attempt_result::refused;
}

/// An exit daemon that is about to stop, or lost its upstream, has told that it will take no more calls.
bool is_gone(core::reason why)
{
    return why == core::reason::draining || why == core::reason::no_instance;
}

} // namespace

call_forwarder::call_forwarder(const call_forwarder_options& forwarder, destination_table& table,
                               upstream_gateway& upstream, http::client_pool& connections,
                               exchange_watch& silent_watch, const protocol::message_authenticator& signer,
                               core::reason_counters& retry_counters)
    : options(forwarder),
      destinations(table),
      gateway(upstream),
      pool(connections),
      watch(silent_watch),
      authenticator(signer),
      retries(retry_counters)
{
}

call_outcome call_forwarder::forward(const std::shared_ptr<call_context>& call,
                                     const forwarded_request& request)
{
    const std::shared_ptr<called_service> service = this->destinations.find(call->service);
    if (!service)
    {
        return {.verdict = {.result = core::outcome::not_run, .why = core::reason::no_instance}};
    }
    attempt chosen;
    core::outcome worst = core::outcome::not_run;
    for (std::uint32_t tries = 1;; ++tries)
    {
        const attempt previous = chosen;
        const core::verdict refused = this->choose(*call, request, *service, previous, tries, chosen);
        if (refused.why != core::reason::none)
        {
            core::verdict verdict = this->advise(refused, *service, request);
            verdict.result = std::max(verdict.result, worst);
            return {.verdict = verdict};
        }
        const core::time_point started = core::boot_clock::now();
        call_outcome outcome = this->send(call, request, chosen);
        const core::time_point ended = core::boot_clock::now();
        this->record(*service, request, chosen, outcome, ended - started - outcome.report.nested);
        if (outcome.verdict.result == core::outcome::ran)
        {
            return outcome;
        }
        worst = std::max(worst, outcome.verdict.result);
        const overload::failed_attempt failed{.result = outcome.verdict,
                                              .idempotent = request.idempotent,
                                              .attempts_made = tries,
                                              .remaining = call->deadline - ended};
        overload::retry_decision decision;
        {
            const std::scoped_lock lock{service->mutex, call->mutex};
            decision = this->policy.decide(ended, failed, call->attempts, service->destination.retries(),
                                           service->random);
        }
        if (!decision.retry || !this->wait_before_retry(*call, request, decision.backoff))
        {
            outcome.verdict = this->advise(outcome.verdict, *service, request);
            // An earlier attempt of an idempotent request may have run even if the last one did not.
            outcome.verdict.result = worst;
            return outcome;
        }
        this->retries.increment(outcome.verdict.why);
    }
}

core::verdict call_forwarder::choose(call_context& call, const forwarded_request& request,
                                     called_service& service, const attempt& previous, std::uint32_t tries,
                                     attempt& chosen)
{
    const core::time_point now = core::boot_clock::now();
    const std::lock_guard lock{service.mutex};
    overload::outgoing_call outgoing{.dependencies = request.dependencies,
                                     .position = call.position,
                                     .depth = call.depth,
                                     .remaining = call.deadline - now,
                                     .retry = tries > 1};
    if (tries > 1)
    {
        outgoing.failed_instance = previous.id;
    }
    const overload::routing_decision choice = service.destination.choose(now, outgoing, service.random);
    if (!choice.instance)
    {
        return {.result = core::outcome::not_run, .why = choice.why};
    }
    if (call.depth == 0 && tries == 1)
    {
        call.offered_ratio = choice.offered_ratio;
    }
    chosen.id = *choice.instance;
    chosen.target = service.targets.at(*choice.instance);
    return {};
}

call_outcome call_forwarder::send(const std::shared_ptr<call_context>& call, const forwarded_request& request,
                                  const attempt& chosen)
{
    std::uint32_t lent = 0;
    {
        const std::lock_guard lock{call->mutex};
        lent = call->attempts.delegate(request.route_has_calls, call->depth);
    }
    call_outcome outcome;
    if (chosen.target.daemon_id == this->options.daemon_id)
    {
        // The upstream is beside this daemon: no hop between daemons is needed.
        const auto exit_call = std::make_shared<call_context>();
        exit_call->request_id = call->request_id;
        exit_call->tenant = call->tenant;
        exit_call->service = call->service;
        exit_call->route = call->route;
        exit_call->position = call->position;
        exit_call->offered_ratio = call->offered_ratio;
        exit_call->depth = call->depth;
        exit_call->deadline = call->deadline;
        exit_call->attempts = overload::attempt_counter{lent};
        const call_cancellation::link link{call->cancellation, exit_call->cancellation};
        outcome = this->gateway.run(exit_call, request);
    }
    else
    {
        outcome = this->send_to_peer(call, request, chosen, lent);
    }
    const std::lock_guard lock{call->mutex};
    call->attempts.reclaim(std::min(outcome.report.unused_attempts, lent));
    return outcome;
}

call_outcome call_forwarder::send_to_peer(const std::shared_ptr<call_context>& call,
                                          const forwarded_request& request, const attempt& chosen,
                                          std::uint32_t lent)
{
    const core::time_point started = core::boot_clock::now();
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(call->deadline - started);
    const protocol::call_envelope envelope{
        .sender = this->options.daemon_id,
        .receiver = chosen.target.daemon_id,
        .request_id = call->request_id,
        .tenant = call->tenant,
        .service = call->service,
        .route = call->route,
        .instance = chosen.target.instance,
        .configuration_revision = request.configuration_revision,
        .remaining_us = static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)),
        .attempts_left = lent,
        .depth = call->depth,
        .priority = static_cast<std::uint32_t>(call->position.cls),
        .bucket = call->position.bucket,
        .offered_ratio_thousandths = static_cast<std::uint64_t>(call->offered_ratio * 1000.0),
        .idempotent = request.idempotent};
    http::headers headers = *request.headers;
    headers.emplace(envelope_header_name, protocol::to_header_value(envelope, this->authenticator));

    http::cancellation control;
    const call_cancellation::registration cancel{call->cancellation, control};
    exchange_watch::observation observation{this->watch, to_string(chosen.target.peer) + call->route, control,
                                            started};
    const http::outgoing_request outgoing{.method = request.method,
                                          .target = request.target,
                                          .headers = &headers,
                                          .body = request.body,
                                          .deadline = call->deadline,
                                          .cancel_on_hangup = request.caller_descriptor};
    http::exchange_result exchange = this->pool.send(chosen.target.peer, outgoing, &control);

    call_outcome outcome{.verdict = exchange.verdict()};
    if (exchange.complete())
    {
        observation.answered(core::boot_clock::now());
        // An answer without a verdict did not come from a daemon, so nothing is known about the request.
        outcome.verdict = read_verdict(exchange.answer.headers)
                              .value_or(core::verdict{.result = core::outcome::may_have_run,
                                                      .why = core::reason::answer_incomplete});
        const auto report = parse_hop_report(http::find_header(exchange.answer.headers, load_header_name));
        outcome.report = report.value_or(hop_report{});
        remove_own_headers(exchange.answer.headers);
        outcome.answer = std::move(exchange.answer);
        return outcome;
    }
    if (outcome.verdict.why == core::reason::cancelled)
    {
        const core::reason why = call->cancellation.why();
        outcome.verdict.why = observation.silent()
                                  ? core::reason::upstream_silent
                                  : (why == core::reason::none ? core::reason::cancelled : why);
    }
    if (outcome.verdict.result == core::outcome::not_run)
    {
        // Nothing of what was lent left this daemon.
        outcome.report.unused_attempts = lent;
    }
    return outcome;
}

void call_forwarder::record(called_service& service, const forwarded_request& request, const attempt& chosen,
                            const call_outcome& outcome, core::duration latency)
{
    const core::time_point now = core::boot_clock::now();
    const std::lock_guard lock{service.mutex};
    service.destination.finish(now, chosen.id, to_attempt_result(outcome.verdict), latency, service.random);
    if (outcome.report.load != overload::load_feedback{} || outcome.verdict.result == core::outcome::ran)
    {
        service.destination.record(now, chosen.id, request.dependencies, outcome.report.load);
    }
    if (is_gone(outcome.verdict.why) && service.targets.contains(chosen.id))
    {
        service.destination.instances().remove_instance(chosen.id);
    }
}

core::verdict call_forwarder::advise(core::verdict verdict, called_service& service,
                                     const forwarded_request& request)
{
    if (verdict.retry_after.count() == 0 && core::http_status(verdict.why) == 503)
    {
        const std::lock_guard lock{service.mutex};
        const overload::admission_level level =
            service.destination.level(core::boot_clock::now(), request.dependencies);
        verdict.retry_after = this->policy.retry_after(level, service.random);
    }
    return verdict;
}

bool call_forwarder::wait_before_retry(const call_context& call, const forwarded_request& request,
                                       core::duration backoff) const
{
    std::this_thread::sleep_for(backoff);
    return call.cancellation.why() == core::reason::none && !(request.caller_gone && request.caller_gone());
}

} // namespace laburnumreach::daemon
