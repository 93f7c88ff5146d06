#include "laburnumreach/standin/json_answer.hpp"
#include "laburnumreach/standin/upstream_standin.hpp"

#include <nlohmann/json.hpp>

namespace laburnumreach::standin
{

void upstream_standin::handle_control(const httplib::Request& request, const std::string& path,
                                      httplib::Response& response, const connection* caller)
{
    if (request.method == "GET")
    {
        answer_json(response, 200, this->record_json());
    }
    else if (path == "/control/faults")
    {
        this->set_faults(request.body, response, caller);
    }
    else if (path == "/control/reset")
    {
        this->record.reset();
        response.status = 204;
    }
    else if (path == "/control/forbidden")
    {
        this->set_forbidden(request.body, response);
    }
    else if (path == "/control/drain")
    {
        this->set_draining(request.body, response);
    }
    else
    {
        answer_error(response, 404, "unknown control request");
    }
}

void upstream_standin::set_faults(const std::string& text, httplib::Response& response,
                                  const connection* caller)
{
    core::result<void> done = this->faults.replace(text);
    if (done)
    {
        const upstream_faults::lasting current = this->faults.current();
        this->server.main().silence_new_connections(current.silent == upstream_faults::silence::all);
        if (current.silent != upstream_faults::silence::none)
        {
            this->server.main().silence_open_connections(caller);
        }
        done = this->server.main().refuse_connections(current.refuse);
    }
    if (!done)
    {
        answer_error(response, 400, done.error().message);
        return;
    }
    response.status = 204;
}

void upstream_standin::set_forbidden(const std::string& text, httplib::Response& response)
{
    try
    {
        this->record.set_forbidden_texts(nlohmann::json::parse(text).get<std::vector<std::string>>());
        response.status = 204;
    }
    catch (const std::exception& problem)
    {
        answer_error(response, 400, problem.what());
    }
}

void upstream_standin::set_draining(const std::string& text, httplib::Response& response)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("draining") || !document["draining"].is_boolean())
    {
        answer_error(response, 400, "expected {\"draining\":true|false}");
        return;
    }
    this->draining = document["draining"].get<bool>();
    if (this->announcements)
    {
        this->announcements->announce_now();
    }
    response.status = 204;
}

std::string upstream_standin::record_json() const
{
    const slot_queue::occupancy now = this->slots.now();
    nlohmann::json document = nlohmann::json::parse(this->record.to_json());
    document["service"] = this->options.service;
    document["instance"] = this->options.instance;
    document["slots"] = {{"busy", now.busy},
                         {"waiting", now.waiting},
                         {"most_busy", now.most_busy},
                         {"most_waiting", now.most_waiting}};
    return document.dump();
}

} // namespace laburnumreach::standin
