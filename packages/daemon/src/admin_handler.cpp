#include "laburnumreach/daemon/admin_handler.hpp"

#include <nlohmann/json.hpp>

namespace laburnumreach::daemon
{

namespace
{

constexpr std::string_view explain_prefix = "/explain?request_id=";

void answer_json(http::response& answer, std::string body)
{
    answer.headers.emplace("Content-Type", "application/json");
    answer.body = std::move(body);
}

} // namespace

admin_handler::admin_handler(daemon_state& shared, control_loop& loop,
                             std::function<std::vector<named_server_counters>()> servers)
    : state(shared), control(loop), list_servers(std::move(servers))
{
}

void admin_handler::handle(http::incoming_request& request, http::response& answer)
{
    const http::request_head& head = request.head();
    if (head.method != "GET")
    {
        answer.status = 405;
        answer.headers.emplace("Allow", "GET");
    }
    else if (head.target == "/metrics")
    {
        answer.headers.emplace("Content-Type", "text/plain; version=0.0.4");
        answer.body = metrics_text(this->state, this->list_servers());
    }
    else if (head.target == "/status")
    {
        answer_json(answer, *this->control.status());
    }
    else if (head.target == "/healthz")
    {
        this->healthz(answer);
    }
    else if (head.target.starts_with(explain_prefix))
    {
        this->explain(std::string_view{head.target}.substr(explain_prefix.size()), answer);
    }
    else
    {
        answer.status = 404;
    }
}

void admin_handler::healthz(http::response& answer)
{
    std::string state_name = "ok";
    if (!this->state.configuration())
    {
        state_name = "no_configuration";
    }
    else if (this->state.draining.load())
    {
        state_name = "draining";
    }
    else if (!this->state.keys_verifiable.load())
    {
        state_name = "key_unverifiable";
    }
    answer.status = state_name == "ok" ? 200 : 503;
    answer_json(answer, nlohmann::json{{"state", state_name}}.dump());
}

void admin_handler::explain(std::string_view request_id, http::response& answer)
{
    const std::optional<refusal_entry> entry = this->state.refusals.find(request_id);
    if (!entry)
    {
        answer.status = 404;
        answer_json(answer, R"({"error":"no refusal of this request is remembered here"})");
        return;
    }
    answer_json(answer, nlohmann::json{{"request_id", entry->request_id},
                                       {"tenant", entry->tenant},
                                       {"service", entry->service},
                                       {"route", entry->route},
                                       {"verdict", core::to_string(entry->verdict.result)},
                                       {"reason", core::to_string(entry->verdict.why)},
                                       {"retry_after_ms", entry->verdict.retry_after.count()}}
                            .dump());
}

} // namespace laburnumreach::daemon
