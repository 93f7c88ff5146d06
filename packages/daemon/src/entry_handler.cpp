#include "laburnumreach/daemon/entry_handler.hpp"

#include "laburnumreach/daemon/body_reader.hpp"
#include "laburnumreach/daemon/caller_key.hpp"
#include "laburnumreach/daemon/message_headers.hpp"
#include "laburnumreach/daemon/random_id.hpp"
#include "laburnumreach/daemon/request_target.hpp"

namespace laburnumreach::daemon
{

namespace
{

core::verdict refuse(core::reason why)
{
    return {.result = core::outcome::not_run, .why = why};
}

/// Returns the wait advised for refusals that say nothing about the load, spread so that callers do not
/// return together.
std::chrono::milliseconds spread_advice()
{
    constexpr std::uint64_t shortest_ms = 500;
    constexpr std::uint64_t spread_ms = 1000;
    return std::chrono::milliseconds{shortest_ms + make_random_number() % spread_ms};
}

/// Keeps a call in the registry while it runs, so that a withdrawn key cancels it.
class registered_call
{
public:
    registered_call(entry_registry& registry, std::shared_ptr<call_context> registered)
        : calls(registry), call(std::move(registered))
    {
        this->calls.add(this->call);
    }
    registered_call(const registered_call&) = delete;
    registered_call& operator=(const registered_call&) = delete;
    ~registered_call() { this->calls.remove(this->call); }

private:
    entry_registry& calls;
    std::shared_ptr<call_context> call;
};

} // namespace

struct entry_handler::admitted_request
{
    explicit admitted_request(body_budget& budget) : reservation(budget) {}

    std::shared_ptr<const runtime_config> config;
    std::shared_ptr<call_context> call = std::make_shared<call_context>();
    config::tenant_index tenant = 0;
    config::route_index route = 0;
    caller_key key;
    http::headers headers;
    std::string target;
    body_budget::reservation reservation;
    std::string body;
};

void entry_handler::handle(http::incoming_request& request, http::response& answer)
{
    const core::time_point started = core::boot_clock::now();
    this->state.metrics.requests.fetch_add(1, std::memory_order_relaxed);
    admitted_request admitted{this->state.bodies};
    admitted.call->request_id = make_random_id();

    const core::verdict refused = this->admit(request, admitted);
    if (refused.why != core::reason::none)
    {
        this->answer_refusal(admitted, refused, answer);
        return;
    }
    const registered_call registration{this->state.entry_calls, admitted.call};
    // The configuration may have changed between the look-up of the key and the registration.
    if (const auto latest = this->state.configuration(); !latest->index().find_key(*admitted.call->key))
    {
        this->answer_refusal(admitted, refuse(core::reason::key_withdrawn), answer);
        return;
    }
    if (const core::verdict unread = this->read_body(request, admitted); unread.why != core::reason::none)
    {
        this->answer_refusal(admitted, unread, answer);
        return;
    }
    call_outcome outcome = this->run(request, admitted);
    if (outcome.verdict.result != core::outcome::ran || outcome.verdict.why != core::reason::none)
    {
        this->answer_refusal(admitted, outcome.verdict, answer);
        return;
    }
    answer = std::move(outcome.answer);
    http::remove_hop_by_hop(answer.headers);
    http::set_verdict_headers(answer.headers, outcome.verdict);
    answer.headers.emplace(request_id_header_name, admitted.call->request_id);
    const auto cls = static_cast<std::size_t>(admitted.call->position.cls);
    this->state.metrics.answers.at(cls).fetch_add(1, std::memory_order_relaxed);
    this->state.metrics.latency.at(cls).add(core::boot_clock::now() - started);
}

core::verdict entry_handler::admit(http::incoming_request& request, admitted_request& admitted)
{
    admitted.config = this->state.configuration();
    if (!admitted.config)
    {
        return refuse(core::reason::no_configuration);
    }
    if (!this->state.keys_verifiable.load())
    {
        return refuse(core::reason::key_unverifiable);
    }
    if (const core::verdict refused = this->authenticate(request, admitted);
        refused.why != core::reason::none)
    {
        return refused;
    }
    const config::route_config& route = admitted.config->index().route(admitted.route);
    const config::tenant_config& tenant = admitted.config->index().tenant(admitted.tenant);
    call_context& call = *admitted.call;
    call.tenant = tenant.name;
    call.service = route.service;
    call.route = route.name;
    call.deadline = core::boot_clock::now() + route.timeout;
    call.attempts = overload::attempt_counter{route.attempts - 1};
    if (!admitted.config->index().tenant_allowed(admitted.route, admitted.tenant))
    {
        return refuse(core::reason::tenant_not_allowed);
    }
    if (!route.idempotent && !once_runner::has_valid_key(admitted.headers))
    {
        return refuse(core::reason::idempotency_key_missing);
    }
    if (const auto length = request.body_length(); length && *length > route.max_body_bytes)
    {
        return refuse(core::reason::body_too_large);
    }
    return admitted.config->quota(admitted.tenant).charge();
}

core::verdict entry_handler::authenticate(http::incoming_request& request, admitted_request& admitted)
{
    const http::request_head& head = request.head();
    const auto key = find_caller_key(head.headers, head.target);
    if (!key)
    {
        return refuse(key.error());
    }
    admitted.key = *key;
    const config::fleet_index& index = admitted.config->index();
    const config::key_digest digest = config::sha256_of_key(admitted.key.text);
    const auto match = index.find_key(digest);
    if (!match)
    {
        return refuse(core::reason::key_unknown);
    }
    admitted.tenant = match->tenant;
    admitted.call->key = digest;
    admitted.headers = head.headers;
    admitted.target = head.target;
    remove_caller_key(admitted.key, admitted.headers, admitted.target);
    http::remove_hop_by_hop(admitted.headers);
    admitted.headers.erase("Host");
    if (contains_key(admitted.key, admitted.target))
    {
        return refuse(core::reason::key_in_body);
    }
    const auto target = split_target(admitted.target);
    if (!target)
    {
        return refuse(core::reason::bad_request);
    }
    const auto service = index.find_service(target->service);
    const auto route = service ? index.find_route(*service, head.method, target->path) : std::nullopt;
    if (!route)
    {
        return refuse(core::reason::route_unknown);
    }
    admitted.route = *route;
    return {};
}

core::verdict entry_handler::read_body(http::incoming_request& request, admitted_request& admitted)
{
    const config::route_config& route = admitted.config->index().route(admitted.route);
    const std::uint64_t limit = std::min(route.max_body_bytes, this->state.settings.limits.max_body_bytes);
    const core::reason why =
        read_whole_body(request, limit, admitted.reservation, admitted.call->cancellation, admitted.body);
    if (why != core::reason::none)
    {
        return refuse(why);
    }
    return contains_key(admitted.key, admitted.body) ? refuse(core::reason::key_in_body) : core::verdict{};
}

call_outcome entry_handler::run(http::incoming_request& request, admitted_request& admitted)
{
    // A long upload is complete only now; the upstream gets its full time.
    const config::fleet_index& index = admitted.config->index();
    const config::route_config& route = index.route(admitted.route);
    admitted.call->deadline = core::boot_clock::now() + route.timeout;
    this->assign_position(admitted);
    const auto target = split_target(admitted.target);
    const forwarded_request forwarded{.method = request.head().method,
                                      .target = target->path_and_query,
                                      .headers = &admitted.headers,
                                      .body = admitted.body,
                                      .tenant_number = admitted.config->tenant_number(admitted.tenant),
                                      .tenant_weight = index.tenant(admitted.tenant).weight,
                                      .dependencies = admitted.config->dependency_set(admitted.route),
                                      .configuration_revision = index.revision(),
                                      .idempotent = route.idempotent,
                                      .route_has_calls = !route.calls.empty(),
                                      .caller_descriptor = request.descriptor(),
                                      .caller_gone = [&request] { return request.caller_gone(); }};
    return route.idempotent ? this->state.forwarder.forward(admitted.call, forwarded)
                            : this->once.run(admitted.call, forwarded);
}

void entry_handler::assign_position(admitted_request& admitted)
{
    const config::fleet_index& index = admitted.config->index();
    const core::priority_class cls = index.route(admitted.route).priority;
    admitted.call->position.cls = cls;
    const std::shared_ptr<called_service> service = this->state.destinations.find(admitted.call->service);
    if (!service)
    {
        return;
    }
    const std::lock_guard lock{service->mutex};
    admitted.call->position =
        service->shares.assign(core::boot_clock::now(), cls, admitted.config->tenant_number(admitted.tenant),
                               index.tenant(admitted.tenant).weight, service->random);
}

void entry_handler::answer_refusal(const admitted_request& admitted, core::verdict verdict,
                                   http::response& answer)
{
    if (verdict.retry_after.count() == 0 && core::http_status(verdict.why) == 503)
    {
        verdict.retry_after = spread_advice();
    }
    this->state.metrics.refusals.increment(verdict.why);
    const call_context& call = *admitted.call;
    this->state.refusals.add({.request_id = call.request_id,
                              .tenant = call.tenant,
                              .service = call.service,
                              .route = call.route,
                              .verdict = verdict});
    answer = http::make_verdict_response(verdict);
    answer.headers.emplace(request_id_header_name, call.request_id);
}

} // namespace laburnumreach::daemon
