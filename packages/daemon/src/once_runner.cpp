#include "laburnumreach/daemon/once_runner.hpp"

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/core/hex.hpp"
#include "laburnumreach/daemon/message_headers.hpp"
#include "laburnumreach/protocol/call_envelope.hpp"

#include <algorithm>
#include <charconv>

namespace laburnumreach::daemon
{

namespace
{

idempotency::recorded_answer to_recorded(const http::response& answer)
{
    idempotency::recorded_answer recorded{.status = answer.status, .headers = {}, .body = answer.body};
    recorded.headers.assign(answer.headers.begin(), answer.headers.end());
    return recorded;
}

http::response to_response(const idempotency::recorded_answer& recorded)
{
    http::response answer{.status = recorded.status, .headers = {}, .body = recorded.body};
    answer.headers.insert(recorded.headers.begin(), recorded.headers.end());
    return answer;
}

} // namespace

bool once_runner::has_valid_key(const http::headers& fields)
{
    return fields.count(idempotency_key_header_name) == 1 &&
           idempotency::valid_idempotency_key(http::find_header(fields, idempotency_key_header_name));
}

call_outcome once_runner::run(const std::shared_ptr<call_context>& call, const forwarded_request& request)
{
    const std::string_view caller_key = http::find_header(*request.headers, idempotency_key_header_name);
    const idempotency::claim_key key =
        idempotency::make_claim_key(call->tenant, call->service + '/' + call->route, caller_key);
    const idempotency::claim_decision decision = this->state.claims.acquire(key, request.caller_gone);
    if (decision.outcome != idempotency::claim_outcome::granted)
    {
        return this->answer_duplicate(*call, key, decision);
    }
    call->deadline = std::min(call->deadline, decision.start_before);
    call_outcome outcome = this->state.forwarder.forward(call, request);
    if (outcome.verdict.result == core::outcome::not_run)
    {
        this->state.claims.release(decision.sequence);
        return outcome;
    }
    const bool whole = outcome.verdict.result == core::outcome::ran;
    const idempotency::recorded_answer recorded =
        whole ? to_recorded(outcome.answer) : idempotency::recorded_answer{};
    this->state.claims.finish(key, decision.sequence, whole ? &recorded : nullptr);
    return outcome;
}

call_outcome once_runner::answer_duplicate(const call_context& call, const idempotency::claim_key& key,
                                           const idempotency::claim_decision& decision)
{
    if (decision.outcome == idempotency::claim_outcome::duplicate_finished)
    {
        if (const auto recorded = this->state.claims.find_answer(key))
        {
            return {
                .verdict = {.result = core::outcome::ran}, .report = {}, .answer = to_response(*recorded)};
        }
        if (decision.holder.daemon != this->state.settings.id)
        {
            return this->fetch_answer(call, key, decision.holder);
        }
    }
    return {.verdict = idempotency::to_verdict(decision.outcome)};
}

call_outcome once_runner::fetch_answer(const call_context& call, const idempotency::claim_key& key,
                                       const idempotency::process_id& holder)
{
    call_outcome lost{.verdict = idempotency::to_verdict(idempotency::claim_outcome::duplicate_finished)};
    const std::optional<http::endpoint> peer = this->state.peer_addresses.find(holder.daemon);
    if (!peer)
    {
        return lost;
    }
    const protocol::call_envelope envelope{.sender = this->state.settings.id, .receiver = holder.daemon};
    const http::headers headers{
        {envelope_header_name, protocol::to_header_value(envelope, this->state.authenticator)}};
    const std::string target = std::string{recorded_answer_path} + to_hex(key);
    http::exchange_result exchange = this->state.pool.send(
        *peer, {.method = "GET", .target = target, .headers = &headers, .deadline = call.deadline});
    const bool found =
        exchange.complete() && http::find_header(exchange.answer.headers, verdict_header_name) == "ran";
    if (!found)
    {
        return lost;
    }
    remove_own_headers(exchange.answer.headers);
    return {.verdict = {.result = core::outcome::ran}, .report = {}, .answer = std::move(exchange.answer)};
}

std::string to_hex(const idempotency::claim_key& key)
{
    return core::to_hex(key.digest);
}

std::optional<idempotency::claim_key> parse_claim_key(std::string_view hex)
{
    idempotency::claim_key key;
    if (hex.size() != key.digest.size() * 2)
    {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < key.digest.size(); ++index)
    {
        const char* begin = hex.data() + index * 2;
        const auto parsed = std::from_chars(begin, begin + 2, key.digest.at(index), 16);
        if (parsed.ec != std::errc{} || parsed.ptr != begin + 2)
        {
            return std::nullopt;
        }
    }
    return key;
}

} // namespace laburnumreach::daemon
