#include "laburnumreach/sidecar/request_router.hpp"

#include "laburnumreach/sidecar/call_reasons.hpp"
#include "laburnumreach/sidecar/http_status.hpp"
#include "laburnumreach/sidecar/wire_text.hpp"

#include <algorithm>
#include <random>

namespace laburnumreach::sidecar
{

request_router::request_router(options initial_settings, instance_dispatcher& local_dispatcher,
                               event_log& log, sidecar_metrics& metrics)
    : settings(std::move(initial_settings)),
      dispatcher(local_dispatcher),
      events(log),
      counters(metrics),
      random(std::random_device{}()),
      placement(this->settings.daemon_id, this->settings.zone),
      admissions(this->settings.daemon_id, this->settings.limiter,
                 [this](const std::string& daemon_id, const token_request_message& request)
                 { this->request_token(daemon_id, request); })
{
}

void request_router::configure(std::shared_ptr<const routing_config> next)
{
    this->config = std::move(next);
    this->admissions.configure(this->config->customers(), core::boot_clock::now());
    this->overload_shedder.configure(*this->config);
    // Forgets the response times of routes that are gone.
    std::unordered_map<std::string, response_time_estimator> known = std::exchange(this->response_times, {});
    this->config->for_each_route(
        [&](const route& entry)
        {
            if (auto node = known.extract(entry.name))
            {
                this->response_times.insert(std::move(node));
            }
        });
}

void request_router::record_probe(const member_record& sender, const probe_message& probe)
{
    const core::time_point now = core::boot_clock::now();
    this->admissions.deposit(probe.tokens);
    for (const demand_report& report : probe.demand)
    {
        // All reporting daemons of a zone send the same total, so a report replaces the previous one.
        const std::string source = report.covers_zone ? "zone " + sender.zone : sender.daemon_id;
        this->admissions.record_demand(source, report.customers, now);
        this->overload_shedder.record_demand(source, report.routes, now);
        if (!report.covers_zone)
        {
            this->own_zone_demand.record(sender.daemon_id, report, now);
        }
    }
}

std::optional<demand_report> request_router::demand_report_for(const std::string& receiving_zone) const
{
    if (receiving_zone == this->settings.zone)
    {
        return demand_report{.customers = this->admissions.demand(), .routes = this->demand_meter.rates()};
    }
    return this->reports_zone_demand ? std::optional{this->own_zone_total} : std::nullopt;
}

void request_router::set_daemon_count(std::size_t count)
{
    this->admissions.set_daemon_count(count);
    this->daemon_count = count;
}

void request_router::forget_reports(const std::string& daemon_id)
{
    this->overload_shedder.remove_daemon(daemon_id);
    this->admissions.remove_daemon(daemon_id);
    this->own_zone_demand.remove_daemon(daemon_id);
}

void request_router::handle(const std::shared_ptr<exchange>& request)
{
    const core::time_point now = request->received;
    constexpr core::duration startup_retry = std::chrono::milliseconds{300};
    if (this->config == nullptr)
    {
        this->refuse_request(*request, http_status::unavailable, "no_configuration", startup_retry);
        return;
    }
    const http::headers& fields = request->head.headers;
    const route* matched = this->config->find_route(http::find_header(fields, "Host"), request->head.target);
    if (matched == nullptr)
    {
        this->refuse_request(*request, http_status::not_found, "route_unknown");
        return;
    }
    const customer* owner = nullptr;
    const bool is_nested = matched->open && this->config->has_customers();
    if (!is_nested && this->settings.memory != nullptr &&
        this->settings.memory->should_refuse(this->urgency_of(*matched)))
    {
        this->refuse_request(*request, http_status::unavailable, "memory",
                             this->retry_delay(matched->latency_objective));
        return;
    }
    if (this->must_refuse_for_stop(*request, *matched, now))
    {
        this->refuse_request(*request, http_status::unavailable, call_reason::daemon_stopping, startup_retry);
        return;
    }
    if (this->config->has_customers() && !matched->open)
    {
        owner = this->config->find_customer(http::find_header(fields, this->settings.names.credential));
        if (owner == nullptr)
        {
            this->refuse_request(*request, http_status::unauthorized, "key_unknown");
            return;
        }
        // The captured configuration owns the route and the customer.
        this->admissions.admit(owner->name, this->urgency_of(*matched), now,
                               [this, request, matched, owner, pinned_config = this->config](bool admitted)
                               {
                                   if (request->done())
                                   {
                                       return; // The caller disconnected.
                                   }
                                   if (!admitted)
                                   {
                                       this->refuse_request(*request, http_status::too_many_requests,
                                                            "rate_exceeded",
                                                            this->retry_delay(matched->latency_objective));
                                       return;
                                   }
                                   this->start_call(request, *matched, owner, core::boot_clock::now());
                               });
        return;
    }
    this->start_call(request, *matched, owner, now);
}

/// Returns 0 for requests of the least urgent routes and 1 for those of the most urgent ones.
double request_router::urgency_of(const route& matched) const
{
    const double lowest_route_priority = std::max(1, this->config->lowest_route_priority());
    return 1.0 - std::clamp(matched.priority / lowest_route_priority, 0.0, 1.0);
}

/// Returns whether a request is refused because this daemon stops.
///
/// A nested call of a run on the instance beside this daemon can be served by nobody else, so it is accepted
/// for longer than a request of a caller.
bool request_router::must_refuse_for_stop(const exchange& request, const route& matched,
                                          core::time_point now) const
{
    if (this->ended)
    {
        return true;
    }
    if (!this->stop_end.is_set() && !this->refusing_new_calls)
    {
        return false; // This daemon does not stop.
    }
    const core::duration response_time = this->response_time_of(matched).value_or(matched.latency_objective);
    const core::time_point deadline = this->deadline_of(request, matched, now);
    if (this->may_be_nested(request, matched, now))
    {
        return this->refusing_new_calls && this->stop_end.cuts_off(now, response_time, deadline);
    }
    const core::duration expected = std::max(response_time, this->run_time_of(matched));
    return this->refusing_new_calls || this->stop_end.cuts_off(now, expected, deadline);
}

/// Returns whether a request may be a call that a run on the instance beside this daemon makes. Such a call
/// has no key, and it ends with that run, where one of a caller has a deadline of its own. A request on an
/// open route is also taken for one if its deadline tells nothing, or ends it before this process ends.
bool request_router::may_be_nested(const exchange& request, const route& matched, core::time_point now) const
{
    const bool may_lack_key = matched.open || !this->config->has_customers();
    if (!may_lack_key || this->dispatcher.running_calls() == 0)
    {
        return false;
    }
    const auto stated_ms =
        parse_ms(http::find_header(request.head.headers, this->settings.names.deadline_ms));
    if (!stated_ms)
    {
        return matched.open;
    }
    const core::time_point deadline = now + std::chrono::milliseconds{*stated_ms};
    return (matched.open && this->stop_end.is_after(deadline)) || this->dispatcher.has_run_until(deadline);
}

/// Returns the longest likely time until the response to a request; none if the route had no requests.
std::optional<core::duration> request_router::response_time_of(const route& matched) const
{
    const auto known = this->response_times.find(matched.name);
    return known == this->response_times.end() ? std::nullopt : known->second.upper_bound();
}

/// Returns the longest likely run time of a request; zero if nothing is known of it.
core::duration request_router::run_time_of(const route& matched) const
{
    constexpr int run_time_margin = 3; // Few runs take more than three times the mean.
    core::duration longest{};
    for (const weighted_service& destination : matched.destinations)
    {
        longest = std::max(longest, this->placement.mean_run_time(destination.service) * run_time_margin);
    }
    return longest;
}

/// Returns the earlier one of the caller's deadline and the route's timeout.
core::time_point request_router::deadline_of(const exchange& request, const route& matched,
                                             core::time_point now) const
{
    const core::time_point route_limit = now + matched.timeout;
    const auto caller_ms =
        parse_ms(http::find_header(request.head.headers, this->settings.names.deadline_ms));
    return caller_ms ? std::min(route_limit, now + std::chrono::milliseconds{*caller_ms}) : route_limit;
}

void request_router::request_token(const std::string& daemon_id, const token_request_message& request)
{
    if (peer_link* link = this->placement.find_link(daemon_id))
    {
        link->send_token_request(request);
    }
}

void request_router::start_call(const std::shared_ptr<exchange>& request, const route& matched,
                                const customer* owner, core::time_point now)
{
    const header_names& names = this->settings.names;
    const bool nested = owner == nullptr && this->config->has_customers();
    const priority_rank rank = priority_rank_of(matched, owner);
    const std::string service = this->round_robins[matched.name].next(matched.destinations);
    if (!nested)
    {
        this->demand_meter.record(matched.name, rank);
    }
    if (!nested && this->overload_shedder.should_shed(matched, service, rank, this->random.uniform()))
    {
        this->counters.count("shed_total", matched.name);
        if (owner != nullptr)
        {
            this->admissions.refund(owner->name);
        }
        this->refuse_request(*request, http_status::unavailable, "overloaded",
                             this->retry_delay(matched.latency_objective));
        return;
    }
    routed_call call;
    call.id = this->next_call_id++;
    call.request = request;
    call.customer = owner == nullptr ? std::string{} : owner->name;
    call.max_instances = matched.max_instances;
    call.large_body = matched.large_body;
    call.latency_objective = matched.latency_objective;
    call.received = now;
    call.deadline = this->deadline_of(*request, matched, now);
    call.message.service = service;
    call.message.route = matched.name;
    call.message.attempt_id = http::find_header(request->head.headers, names.attempt_id);
    call.message.method = request->head.method;
    call.message.target = request->head.target;
    call.message.fields = this->forwarded_fields(request->head, owner);
    call.message.body = std::move(request->body);
    call.message.priority = rank;
    call.message.idempotent = matched.idempotent;
    call.message.nested = nested;
    if (nested)
    {
        ++this->nested_calls[matched.name];
    }
    this->retry_budgets[call.message.service].record_request(now);
    this->by_deadline.emplace(call.deadline, call.id);
    request->head.headers.clear(); // Decoded, they take many times their size.
    request->on_cancelled = [this, id = call.id] { this->on_caller_disconnected(id); };
    routed_call& stored = this->calls.emplace(call.id, std::move(call)).first->second;
    this->place_or_wait(stored);
}

std::string request_router::forwarded_fields(const http::request_head& head, const customer* owner) const
{
    const header_names& names = this->settings.names;
    http::headers fields = head.headers;
    for (const std::string* name : {&names.deadline_ms, &names.credential, &names.customer,
                                    &names.caller_service, &names.expected_instance})
    {
        fields.erase(*name);
    }
    std::string text = end_to_end_fields(std::move(fields));
    text += names.caller_service + ": " + this->settings.service + "\r\n";
    if (owner != nullptr)
    {
        text += names.customer + ": " + owner->name + "\r\n";
    }
    return text;
}

void request_router::place_or_wait(routed_call& call)
{
    if (!this->try_place(call))
    {
        this->unplaced.insert(call.id);
    }
}

/// @returns the daemon to send a call to; null if no instance is available now, or no time is left
const std::string* request_router::choose_daemon(const routed_call& call) const
{
    if (this->stop_end.is_set() && this->stop_end.limit(call.deadline) <= core::boot_clock::now())
    {
        return nullptr;
    }
    return this->placement.choose(call.message.service, call.tried_daemons,
                                  call.large_body ? large_body_choice : choice_options{});
}

/// @returns false if no instance is available now
bool request_router::try_place(routed_call& call)
{
    const std::string* daemon_id = this->choose_daemon(call);
    if (daemon_id == nullptr)
    {
        return false;
    }
    this->send(call, *daemon_id);
    return true;
}

void request_router::send(routed_call& call, const std::string& daemon_id)
{
    const core::time_point now = core::boot_clock::now();
    call.daemon_id = daemon_id;
    this->calls_by_send.erase(call.message.id);
    call.message.id = this->next_send_id++;
    this->calls_by_send.emplace(call.message.id, call.id);
    call.message.remaining_ms = to_ms(this->stop_end.limit(call.deadline) - now);
    this->placement.record_sent(daemon_id);
    if (daemon_id == this->settings.daemon_id)
    {
        call.local_ticket = this->dispatcher.submit(call.message, [this](reply_message reply)
                                                    { this->on_reply(std::move(reply)); });
        return;
    }
    this->placement.find_link(daemon_id)->send_call(call.message);
}

void request_router::on_status(const std::string& daemon_id, const instance_status& status)
{
    this->placement.record_status(daemon_id, status);
    this->overload_shedder.record_status(daemon_id, status);
}

/// @returns the call of which a send is the last one; null if there is none
routed_call* request_router::find_sent(std::uint64_t send_id)
{
    const auto found = this->calls_by_send.find(send_id);
    return found == this->calls_by_send.end() ? nullptr : &this->calls.at(found->second);
}

void request_router::on_reply(reply_message reply)
{
    routed_call* const sent = this->find_sent(reply.id);
    if (sent == nullptr)
    {
        return;
    }
    this->calls_by_send.erase(reply.id);
    routed_call& call = *sent;
    switch (static_cast<reply_kind>(reply.kind))
    {
    case reply_kind::response:
        this->respond(call,
                      {.status = reply.status,
                       .fields = std::move(reply.fields),
                       .body = std::move(reply.body),
                       .close = false},
                      reply.status < http_status::first_server_error ? "answered" : "upstream_error");
        return;
    case reply_kind::not_started:
        call.last_reason = reply.reason;
        call.tried_daemons.push_back(std::exchange(call.daemon_id, {}));
        if (reply.reason == call_reason::deadline || reply.reason == call_reason::queue_full ||
            call.tried_daemons.size() >= max_placements)
        {
            this->retry_or_fail(call, false, reply.reason);
            return;
        }
        this->place_or_wait(call);
        return;
    case reply_kind::rejected:
        this->retry_or_fail(call, false, reply.reason);
        return;
    case reply_kind::failed:
        this->retry_or_fail(call, true, reply.reason);
        return;
    }
}

void request_router::on_call_lost(std::uint64_t send_id)
{
    if (routed_call* const call = this->find_sent(send_id))
    {
        this->calls_by_send.erase(send_id);
        this->retry_or_fail(*call, true, call_reason::link_lost);
    }
}

void request_router::on_call_stalled(std::uint64_t send_id)
{
    routed_call* const call = this->find_sent(send_id);
    if (call == nullptr || !call->message.idempotent)
    {
        return; // A call that must not run twice waits for the reconnect.
    }
    this->cancel_at_daemon(*call);
    this->retry_or_fail(*call, true, call_reason::link_lost);
}

void request_router::cancel_at_daemon(routed_call& call)
{
    if (call.daemon_id == this->settings.daemon_id)
    {
        this->dispatcher.cancel(call.local_ticket);
    }
    else if (peer_link* link = this->placement.find_link(call.daemon_id))
    {
        link->send_cancel(call.message.id);
    }
}

void request_router::on_caller_disconnected(std::uint64_t id)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
    {
        return;
    }
    routed_call& call = found->second;
    this->cancel_at_daemon(call);
    this->counters.count("requests_total", "caller_left");
    this->events.request_event(
        "caller_left", {{"request", call.message.attempt_id},
                        {"route", call.message.route},
                        {"peer", call.daemon_id},
                        {"after_ms", std::to_string(to_ms(core::boot_clock::now() - call.received))}});
    this->by_deadline.erase({call.deadline, id});
    this->unplaced.erase(id);
    this->calls_by_send.erase(call.message.id);
    this->calls.erase(found);
}

/// Excludes unreachable daemons from the known capacity and from the choice of pool daemons. The first status
/// after a reconnect adds the instance again.
void request_router::update_reachable()
{
    std::vector<std::string> reachable;
    for (const auto& [daemon_id, link] : this->placement.links())
    {
        if (link->usable())
        {
            reachable.push_back(daemon_id);
        }
        else
        {
            this->overload_shedder.remove_instance(daemon_id);
        }
    }
    this->admissions.set_reachable_daemons(std::move(reachable));
}

void request_router::tick(core::time_point now)
{
    while (!this->by_deadline.empty() && this->by_deadline.begin()->first <= now)
    {
        routed_call& call = this->calls.at(this->by_deadline.begin()->second);
        const bool placed = !call.daemon_id.empty();
        this->cancel_at_daemon(call);
        const bool may_have_run = placed || call.may_have_run;
        this->refuse_call(call, may_have_run ? http_status::gateway_timeout : http_status::unavailable,
                          call_reason::deadline);
    }
    const std::set<std::uint64_t> waiting = this->unplaced;
    for (const std::uint64_t id : waiting)
    {
        const auto found = this->calls.find(id);
        if (found == this->calls.end())
        {
            this->unplaced.erase(id);
            continue;
        }
        if (this->try_place(found->second))
        {
            this->unplaced.erase(id);
        }
        else if (now - found->second.received > placement_timeout)
        {
            this->unplaced.erase(id);
            this->retry_or_fail(found->second, false, call_reason::no_instance);
        }
    }
    this->admissions.tick(now);
    if (this->demand_meter.update(now))
    {
        this->overload_shedder.record_demand(this->settings.daemon_id, this->demand_meter.rates(), now);
        this->update_reachable();
        if (this->reports_zone_demand)
        {
            this->own_zone_demand.record(this->settings.daemon_id,
                                         *this->demand_report_for(this->settings.zone), now);
            this->own_zone_total = this->own_zone_demand.sum(now);
        }
    }
    this->overload_shedder.update(now);
}

} // namespace laburnumreach::sidecar
