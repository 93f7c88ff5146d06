#include "laburnumreach/daemon/local_handler.hpp"

#include "laburnumreach/daemon/body_reader.hpp"
#include "laburnumreach/daemon/message_headers.hpp"
#include "laburnumreach/daemon/request_target.hpp"

#include <algorithm>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::string_view announce_path = "/laburnum/announce";
constexpr std::uint64_t max_announcement_bytes = 16 * 1024;

core::verdict refuse(core::reason why)
{
    return {.result = core::outcome::not_run, .why = why};
}

/// Marks a running call as waiting for a nested call, so that its slot's latency is not blamed on the
/// upstream.
class nested_wait
{
public:
    nested_wait(upstream_gateway& upstream, call_context& waiting) : gateway(upstream), call(waiting)
    {
        this->gateway.begin_nested(this->call);
    }
    nested_wait(const nested_wait&) = delete;
    nested_wait& operator=(const nested_wait&) = delete;
    ~nested_wait() { this->gateway.end_nested(this->call); }

private:
    upstream_gateway& gateway;
    call_context& call;
};

bool depends_on(const config::fleet_index& index, std::string_view caller, std::string_view called)
{
    const auto service = index.find_service(caller);
    if (!service)
    {
        return false;
    }
    const std::vector<std::string>& names = index.service(*service).depends_on;
    return std::find(names.begin(), names.end(), called) != names.end();
}

} // namespace

void local_handler::handle(http::incoming_request& request, http::response& answer)
{
    if (request.head().target == announce_path)
    {
        this->announce(request, answer);
        return;
    }
    this->state.metrics.nested_calls.fetch_add(1, std::memory_order_relaxed);
    const std::shared_ptr<call_context> parent =
        this->state.handles.find(http::find_header(request.head().headers, call_header_name));
    call_outcome outcome;
    if (!parent || request.peer_address() != this->state.gateway.address().address)
    {
        outcome.verdict = refuse(core::reason::handle_invalid);
    }
    else
    {
        const nested_wait wait{this->state.gateway, *parent};
        outcome = this->call_service(request, parent);
    }
    if (outcome.verdict.result == core::outcome::ran && outcome.verdict.why == core::reason::none)
    {
        answer = std::move(outcome.answer);
        http::remove_hop_by_hop(answer.headers);
        http::set_verdict_headers(answer.headers, outcome.verdict);
        return;
    }
    this->state.metrics.nested_refusals.increment(outcome.verdict.why);
    answer = http::make_verdict_response(outcome.verdict);
}

void local_handler::announce(http::incoming_request& request, http::response& answer)
{
    body_budget::reservation reservation{this->state.bodies};
    const call_cancellation never;
    std::string body;
    if (request.head().method != "PUT" ||
        read_whole_body(request, max_announcement_bytes, reservation, never, body) != core::reason::none)
    {
        answer = http::make_verdict_response(refuse(core::reason::bad_request));
        return;
    }
    const core::result<announcement> parsed = parse_announcement(body);
    const core::result<void> accepted = parsed
                                            ? this->state.gateway.announce(core::boot_clock::now(), *parsed)
                                            : core::result<void>{tl::unexpected<core::error>{parsed.error()}};
    if (!accepted)
    {
        answer.status = accepted.error().code == core::error_code::conflict ? 409 : 400;
        answer.headers.emplace("Content-Type", "text/plain");
        answer.body = accepted.error().message + "\n";
        return;
    }
    answer.status = 204;
}

call_outcome local_handler::call_service(http::incoming_request& request,
                                         const std::shared_ptr<call_context>& parent)
{
    const auto config = this->state.configuration();
    const auto target = split_target(request.head().target);
    if (!config || !target)
    {
        return {.verdict = refuse(config ? core::reason::bad_request : core::reason::no_configuration)};
    }
    const config::fleet_index& index = config->index();
    const auto service = index.find_service(target->service);
    const auto route =
        service ? index.find_route(*service, request.head().method, target->path) : std::nullopt;
    // Only declared dependencies can be called: they are free of cycles and the overload feedback covers
    // them.
    if (!route || !depends_on(index, parent->service, target->service))
    {
        return {.verdict = refuse(core::reason::route_unknown)};
    }
    if (parent->depth + 1 > this->state.settings.limits.max_depth)
    {
        return {.verdict = refuse(core::reason::depth_exceeded)};
    }
    const config::route_config& called = index.route(*route);
    const auto call = std::make_shared<call_context>();
    call->request_id = parent->request_id;
    call->tenant = parent->tenant;
    call->service = called.service;
    call->route = called.name;
    call->position = parent->position;
    call->offered_ratio = parent->offered_ratio;
    call->depth = parent->depth + 1;
    call->deadline = std::min(parent->deadline, core::boot_clock::now() + called.timeout);
    const call_cancellation::link link{parent->cancellation, call->cancellation};
    {
        const std::lock_guard lock{parent->mutex};
        call->attempts = overload::attempt_counter{parent->attempts.delegate(true, call->depth)};
    }
    call_outcome outcome = this->forward(request, parent, call, *config, *route, target->path_and_query);
    const std::scoped_lock lock{parent->mutex, call->mutex};
    parent->attempts.reclaim(call->attempts.remaining());
    return outcome;
}

call_outcome local_handler::forward(http::incoming_request& request,
                                    const std::shared_ptr<call_context>& parent,
                                    const std::shared_ptr<call_context>& call, const runtime_config& config,
                                    config::route_index route_number, std::string_view target)
{
    const config::route_config& route = config.index().route(route_number);
    http::headers headers = request.head().headers;
    http::remove_hop_by_hop(headers);
    remove_own_headers(headers);
    headers.erase("Host");
    if (!route.idempotent && !once_runner::has_valid_key(headers))
    {
        return {.verdict = refuse(core::reason::idempotency_key_missing)};
    }
    body_budget::reservation reservation{this->state.bodies};
    std::string body;
    const std::uint64_t limit = std::min(route.max_body_bytes, this->state.settings.limits.max_body_bytes);
    const core::reason unread = read_whole_body(request, limit, reservation, call->cancellation, body);
    if (unread != core::reason::none)
    {
        return {.verdict = refuse(unread)};
    }
    const overload::dependency_set_id dependencies = config.dependency_set(route_number);
    this->state.calls_by_route.add(parent->route, call->service, dependencies);
    const auto tenant = config.index().find_tenant(call->tenant);
    const forwarded_request forwarded{.method = request.head().method,
                                      .target = target,
                                      .headers = &headers,
                                      .body = body,
                                      .tenant_number = this->state.names.number_of(call->tenant),
                                      .tenant_weight = tenant ? config.index().tenant(*tenant).weight : 1.0,
                                      .dependencies = dependencies,
                                      .configuration_revision = config.revision(),
                                      .idempotent = route.idempotent,
                                      .route_has_calls = !route.calls.empty(),
                                      .caller_descriptor = request.descriptor(),
                                      .caller_gone = [&request] { return request.caller_gone(); }};
    return route.idempotent ? this->state.forwarder.forward(call, forwarded)
                            : this->once.run(call, forwarded);
}

} // namespace laburnumreach::daemon
