#include "laburnumreach/standin/platform_standin.hpp"

#include "laburnumreach/standin/json_answer.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace laburnumreach::standin
{

namespace
{

constexpr std::string_view object_prefix = "/v1/objects";
constexpr std::chrono::milliseconds longest_watch{120'000};

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
    {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

nlohmann::json as_json(const object_store::object& shown)
{
    return {{"name", shown.name}, {"version", shown.version}, {"value", shown.value}};
}

/// Values that are not UTF-8 are shown with replacement characters.
std::string to_text(const nlohmann::json& document)
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

/// One request to the object API.
struct platform_standin::call
{
    const httplib::Request& request;
    httplib::Response& response;
    connection& caller;
    std::string name;
    platform_faults::caller_identity identity;
    std::string kind;
    platform_statistics::counts counts{.calls = 1};
};

platform_standin::platform_standin(const platform_standin_options& settings)
    : options(settings),
      faults(settings.seed),
      write_rate(settings.writes_per_second, core::boot_clock::now()),
      read_rate(settings.reads_per_second, core::boot_clock::now()),
      server(
          settings.server,
          [this](const httplib::Request& request, const std::string& path, httplib::Response& response,
                 connection& caller) { this->handle(request, path, response, caller); },
          [this](const httplib::Request& request, const std::string& path, httplib::Response& response,
                 const connection*) { this->handle_control(request, path, response); })
{
}

void platform_standin::handle(const httplib::Request& request, const std::string& path,
                              httplib::Response& response, connection& caller)
{
    if (!path.starts_with(object_prefix))
    {
        answer_error(response, 404, "unknown path");
        return;
    }
    std::string name = path.substr(object_prefix.size());
    name.erase(0, name.starts_with('/') ? 1 : 0);
    call current{.request = request,
                 .response = response,
                 .caller = caller,
                 .name = std::move(name),
                 .identity = {.daemon = request.get_header_value("Laburnum-Daemon"),
                              .zone = request.get_header_value("Laburnum-Zone")},
                 .kind = {}};
    current.counts.bytes_in = request.body.size();
    this->handle_object(current);
    current.counts.bytes_out = response.body.size();
    this->statistics.add(current.kind, current.identity.daemon, current.counts);
}

void platform_standin::handle_control(const httplib::Request& request, const std::string& path,
                                      httplib::Response& response)
{
    const bool is_get = request.method == "GET";
    if (path == "/control/faults" && request.method == "POST")
    {
        this->set_faults(request.body, response);
    }
    else if (path == "/control/stats" && is_get)
    {
        answer_json(response, 200, this->statistics.to_json());
    }
    else if (path == "/control/history" && is_get)
    {
        this->list_history(request.get_param_value("name"), response);
    }
    else
    {
        answer_error(response, 404, "unknown control request");
    }
}

void platform_standin::set_faults(const std::string& text, httplib::Response& response)
{
    core::result<void> done = this->faults.replace(text);
    if (done)
    {
        const bool refuse = this->faults.outage({}) == platform_faults::outage_mode::refuse;
        done = this->server.main().refuse_connections(refuse);
        this->objects.wake_watchers();
    }
    if (!done)
    {
        answer_error(response, 400, done.error().message);
        return;
    }
    response.status = 204;
}

void platform_standin::list_history(const std::string& name, httplib::Response& response) const
{
    nlohmann::json writes = nlohmann::json::array();
    for (const object_store::write_record& record : this->objects.history(name))
    {
        nlohmann::json item{{"version", record.version},
                            {"deleted", record.deleted},
                            {"daemon", record.writer},
                            {"bytes", record.bytes}};
        if (record.value)
        {
            item["value"] = *record.value;
        }
        writes.push_back(std::move(item));
    }
    answer_json(response, 200, to_text({{"name", name}, {"writes", std::move(writes)}}));
}

void platform_standin::handle_object(call& current)
{
    const httplib::Request& request = current.request;
    const bool is_read = request.method == "GET";
    const bool is_watch = is_read && request.get_param_value("watch") == "1";
    const bool is_delete = request.method == "DELETE";
    if (!is_read && request.method != "PUT" && !is_delete)
    {
        current.kind = "other";
        answer_error(current.response, 405, "method not allowed");
        return;
    }
    current.kind = is_watch                          ? "watch"
                   : is_read && current.name.empty() ? "list"
                   : is_read                         ? "read"
                   : is_delete                       ? "delete"
                                                     : "write";
    if (this->breaks_off(current))
    {
        return;
    }
    if (!this->within_rate(!is_read))
    {
        current.counts.rejected = 1;
        answer_error(current.response, 429, "over the call rate");
        return;
    }
    // The delay precedes the effect, so that a slow platform also widens the window for conflicts.
    current.caller.sleep(this->faults.delay(current.identity));
    if (is_watch)
    {
        this->watch(current);
    }
    else if (is_read)
    {
        current.name.empty() ? this->list(current) : this->read(current);
    }
    else
    {
        is_delete ? this->remove(current) : this->write(current);
    }
}

bool platform_standin::within_rate(bool write)
{
    const std::lock_guard lock{this->rate_mutex};
    return (write ? this->write_rate : this->read_rate).allow(core::boot_clock::now());
}

bool platform_standin::breaks_off(call& current)
{
    const platform_faults::outage_mode outage = this->faults.outage(current.identity);
    if (outage == platform_faults::outage_mode::none)
    {
        return false;
    }
    current.counts.failed = 1;
    if (outage == platform_faults::outage_mode::status)
    {
        answer_error(current.response, 503, "outage");
    }
    else
    {
        current.caller.discard_answer();
    }
    return true;
}

void platform_standin::read(call& current)
{
    const auto shown = this->objects.read(current.name, this->faults.versions_behind(current.identity));
    if (!shown)
    {
        answer_error(current.response, 404, "no such object");
        return;
    }
    answer_json(current.response, 200, to_text(as_json(*shown)));
}

void platform_standin::list(call& current)
{
    nlohmann::json shown = nlohmann::json::array();
    for (const object_store::object& item : this->objects.list(
             current.request.get_param_value("prefix"), this->faults.versions_behind(current.identity)))
    {
        shown.push_back(as_json(item));
    }
    answer_json(current.response, 200, to_text({{"objects", std::move(shown)}}));
}

void platform_standin::watch(call& current)
{
    const std::uint64_t after = parse_number(current.request.get_param_value("after")).value_or(0);
    const std::chrono::milliseconds timeout{
        parse_number(current.request.get_param_value("timeout_ms")).value_or(0)};
    const core::time_point started = core::boot_clock::now();
    const core::time_point deadline = started + std::min(timeout, longest_watch);
    const bool repeat = this->faults.repeats_watch_event(current.identity);

    this->objects.add_watcher(current.name, current.caller);
    std::optional<object_store::object> shown;
    core::time_point now = started;
    bool broken = false;
    while (!broken)
    {
        shown = this->objects.read(current.name, this->faults.versions_behind(current.identity));
        if ((shown && (shown->version > after || repeat)) || now >= deadline)
        {
            break;
        }
        broken = current.caller.wait(deadline - now) == connection::wake_cause::closed ||
                 this->breaks_off(current);
        now = core::boot_clock::now();
    }
    this->objects.remove_watcher(current.name, current.caller);

    // A waiting watch counts as one call in each second.
    const std::chrono::duration<double> waited = now - started;
    {
        const std::lock_guard lock{this->rate_mutex};
        this->read_rate.charge(waited.count(), now);
    }
    if (broken)
    {
        return;
    }
    if (shown && (shown->version > after || repeat))
    {
        answer_json(current.response, 200, to_text(as_json(*shown)));
        return;
    }
    current.response.status = 204;
}

void platform_standin::write(call& current)
{
    const std::string if_match = current.request.get_header_value("If-Match");
    const std::optional<std::uint64_t> expected = parse_number(if_match);
    const bool create = current.request.get_header_value("If-None-Match") == "*";
    if (current.name.empty() || create == expected.has_value() || (create && !if_match.empty()))
    {
        answer_error(current.response, 400, "expected If-Match: <version> or If-None-Match: *");
        return;
    }
    if (current.request.body.size() > this->options.most_value_bytes)
    {
        answer_error(current.response, 413, "value too large");
        return;
    }
    const auto version =
        this->objects.put(current.name, expected, current.request.body, current.identity.daemon);
    if (!version)
    {
        answer_error(current.response, 412, "another version");
        return;
    }
    answer_json(current.response, 200, nlohmann::json{{"version", *version}}.dump());
    this->lose_answer(current);
}

void platform_standin::remove(call& current)
{
    const std::optional<std::uint64_t> expected = parse_number(current.request.get_header_value("If-Match"));
    if (!expected)
    {
        answer_error(current.response, 400, "expected If-Match: <version>");
        return;
    }
    if (!this->objects.remove(current.name, *expected, current.identity.daemon))
    {
        answer_error(current.response, 412, "another version");
        return;
    }
    current.response.status = 204;
    this->lose_answer(current);
}

void platform_standin::lose_answer(call& current)
{
    if (this->faults.loses_write_answer(current.identity))
    {
        current.caller.discard_answer();
    }
}

} // namespace laburnumreach::standin
