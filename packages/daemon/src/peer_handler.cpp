#include "laburnumreach/daemon/peer_handler.hpp"

#include "laburnumreach/daemon/body_reader.hpp"
#include "laburnumreach/daemon/message_headers.hpp"
#include "laburnumreach/daemon/once_runner.hpp"

namespace laburnumreach::daemon
{

namespace
{

core::verdict refuse(core::reason why)
{
    return {.result = core::outcome::not_run, .why = why};
}

std::shared_ptr<call_context> make_context(const protocol::call_envelope& envelope)
{
    auto call = std::make_shared<call_context>();
    call->request_id = envelope.request_id;
    call->tenant = envelope.tenant;
    call->service = envelope.service;
    call->route = envelope.route;
    call->position.cls = static_cast<core::priority_class>(envelope.priority % core::priority_class_count);
    call->position.bucket = static_cast<std::uint8_t>(envelope.bucket % overload::bucket_count);
    call->offered_ratio = static_cast<double>(envelope.offered_ratio_thousandths) / 1000.0;
    call->depth = envelope.depth;
    call->deadline = core::boot_clock::now() + std::chrono::microseconds{envelope.remaining_us};
    call->attempts = overload::attempt_counter{envelope.attempts_left};
    return call;
}

} // namespace

void peer_handler::handle(http::incoming_request& request, http::response& answer)
{
    const http::request_head& head = request.head();
    const auto envelope = protocol::parse_header_value(http::find_header(head.headers, envelope_header_name),
                                                       this->state.authenticator);
    if (!envelope || envelope->receiver != this->state.settings.id)
    {
        this->answer_refusal(refuse(core::reason::peer_unauthenticated), answer);
        return;
    }
    if (head.target.starts_with(recorded_answer_path))
    {
        this->answer_recorded(std::string_view{head.target}.substr(recorded_answer_path.size()), answer);
        return;
    }
    this->state.metrics.exit_calls.fetch_add(1, std::memory_order_relaxed);
    call_outcome outcome = this->run(request, *envelope);
    if (outcome.verdict.result == core::outcome::ran)
    {
        answer = std::move(outcome.answer);
        http::remove_hop_by_hop(answer.headers);
        http::set_verdict_headers(answer.headers, outcome.verdict);
    }
    else
    {
        this->answer_refusal(outcome.verdict, answer);
    }
    answer.headers.emplace(load_header_name, to_header_value(outcome.report));
}

call_outcome peer_handler::run(http::incoming_request& request, const protocol::call_envelope& envelope)
{
    const std::shared_ptr<call_context> call = make_context(envelope);
    if (envelope.depth > this->state.settings.limits.max_depth)
    {
        return {.verdict = refuse(core::reason::depth_exceeded)};
    }
    const upstream_state upstream = this->state.gateway.state();
    if (upstream.instance != envelope.instance || upstream.service != envelope.service)
    {
        return {.verdict = refuse(core::reason::no_instance)};
    }
    body_budget::reservation reservation{this->state.bodies};
    std::string body;
    const core::reason unread = read_whole_body(request, this->state.settings.limits.max_body_bytes,
                                                reservation, call->cancellation, body);
    if (unread != core::reason::none)
    {
        return {.verdict = refuse(unread)};
    }
    http::headers headers = request.head().headers;
    http::remove_hop_by_hop(headers);
    remove_own_headers(headers);
    headers.erase("Host");
    const auto config = this->state.configuration();
    const auto tenant = config ? config->index().find_tenant(envelope.tenant) : std::nullopt;
    const forwarded_request forwarded{.method = request.head().method,
                                      .target = request.head().target,
                                      .headers = &headers,
                                      .body = body,
                                      .tenant_number = this->state.names.number_of(envelope.tenant),
                                      .tenant_weight = tenant ? config->index().tenant(*tenant).weight : 1.0,
                                      .idempotent = envelope.idempotent,
                                      .caller_descriptor = request.descriptor(),
                                      .caller_gone = [&request] { return request.caller_gone(); }};
    return this->state.gateway.run(call, forwarded);
}

void peer_handler::answer_recorded(std::string_view target, http::response& answer)
{
    const auto key = parse_claim_key(target);
    const auto recorded = key ? this->state.claims.find_answer(*key) : nullptr;
    if (!recorded)
    {
        answer.status = 404;
        return;
    }
    answer.status = recorded->status;
    answer.body = recorded->body;
    answer.headers.insert(recorded->headers.begin(), recorded->headers.end());
    http::remove_hop_by_hop(answer.headers);
    http::set_verdict_headers(answer.headers, {.result = core::outcome::ran});
}

void peer_handler::answer_refusal(const core::verdict& verdict, http::response& answer)
{
    this->state.metrics.exit_refusals.increment(verdict.why);
    answer = http::make_verdict_response(verdict);
}

} // namespace laburnumreach::daemon
