#include "laburnumreach/standin/upstream_standin.hpp"

#include "laburnumreach/standin/checked_answer.hpp"
#include "laburnumreach/standin/json_answer.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace laburnumreach::standin
{

namespace
{

constexpr std::size_t most_answer_bytes = 16 * 1024 * 1024;
constexpr std::chrono::seconds default_call_timeout{10};
constexpr std::chrono::milliseconds drain_check_interval{5};
constexpr std::size_t most_load_lag = 1000;

std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    return status == std::errc{} && end == text.data() + text.size() ? std::optional{value} : std::nullopt;
}

} // namespace

/// One request to the upstream.
struct upstream_standin::work
{
    const httplib::Request& request;
    const std::string& path;
    httplib::Response& response;
    connection& caller;
    execution_record::identity identity;
};

upstream_standin::upstream_standin(const upstream_standin_options& settings)
    : options(settings),
      started_at(core::boot_clock::now()),
      times(settings.service_times, settings.other_service_time, settings.slow_periods, settings.seed),
      slots(settings.slots),
      faults(settings.seed + 1),
      server(
          settings.server,
          [this](const httplib::Request& request, const std::string& path, httplib::Response& response,
                 connection& caller) { this->handle(request, path, response, caller); },
          [this](const httplib::Request& request, const std::string& path, httplib::Response& response,
                 const connection* caller) { this->handle_control(request, path, response, caller); })
{
    this->record.set_forbidden_texts(settings.forbidden_texts);
    this->server.main().set_before_body(
        [this](const std::string& path, connection& caller)
        {
            if (!controlled_server::is_control(path))
            {
                caller.pace_reads(this->faults.current().reader_bytes_per_second);
            }
        });
    if (settings.daemon)
    {
        this->dependencies.emplace(*settings.daemon, settings.dependencies);
        this->announcements = std::make_unique<announcer>(*settings.daemon, settings.announce_interval,
                                                          [this] { return this->announcement(); });
    }
}

core::result<void> upstream_standin::start()
{
    core::result<void> started = this->server.start();
    if (started && this->announcements)
    {
        this->announcements->start();
    }
    return started;
}

void upstream_standin::drain(core::duration at_least, core::duration at_most)
{
    this->draining = true;
    if (this->announcements)
    {
        this->announcements->announce_now();
    }
    const core::time_point begin = core::boot_clock::now();
    const auto waits = [&](core::duration passed)
    { return passed < at_least || (passed<at_most&& this->slots.now().busy> 0); };
    while (waits(core::boot_clock::now() - begin))
    {
        const timespec pause{.tv_sec = 0, .tv_nsec = core::duration{drain_check_interval}.count()};
        ::nanosleep(&pause, nullptr);
    }
}

void upstream_standin::stop()
{
    if (this->announcements)
    {
        this->announcements->stop();
    }
    this->server.stop();
}

void upstream_standin::handle(const httplib::Request& request, const std::string& path,
                              httplib::Response& response, connection& caller)
{
    work current{.request = request,
                 .path = path,
                 .response = response,
                 .caller = caller,
                 .identity = {.request_id = request.get_header_value("Laburnum-Request-Id"),
                              .idempotency_key = request.get_header_value("Idempotency-Key"),
                              .nonce = request.get_header_value("Test-Nonce"),
                              .tenant = request.get_header_value("Laburnum-Tenant"),
                              .path = path}};
    this->record.add(current.identity, execution_record::event::received);
    this->inspect(current);
    if (caller.is_silent())
    {
        caller.wait_for_close();
        caller.discard_answer();
        return;
    }
    if (!this->slots.acquire(caller))
    {
        this->record.add(current.identity, execution_record::event::cancelled);
        caller.discard_answer();
        return;
    }
    this->run_in_slot(current);
    if (caller.is_silent())
    {
        caller.wait_for_close();
        caller.discard_answer();
    }
    else if (response.status == 200)
    {
        this->answer(current);
    }
}

void upstream_standin::run_in_slot(work& current)
{
    const core::time_point begin = core::boot_clock::now();
    this->record.add(current.identity, execution_record::event::started);
    const core::duration whole = std::chrono::duration_cast<core::duration>(
        this->times.draw(current.path, begin - this->started_at) * this->faults.current().slow_factor);
    const auto before = std::chrono::duration_cast<core::duration>(whole * this->options.work_before_calls);
    bool connected = current.caller.sleep(before);
    bool complete = true;
    if (connected && this->dependencies)
    {
        complete = this->call_dependencies(current);
        connected = current.caller.sleep(complete ? whole - before : core::duration::zero());
    }
    else if (connected)
    {
        connected = current.caller.sleep(whole - before);
    }
    const core::duration worked = core::boot_clock::now() - begin;
    this->slots.release();
    this->record.add(current.identity,
                     !connected ? execution_record::event::cancelled
                     : complete ? execution_record::event::finished
                                : execution_record::event::failed,
                     worked);
    if (!connected)
    {
        current.caller.discard_answer();
    }
    else if (complete)
    {
        current.response.status = 200;
    }
}

bool upstream_standin::call_dependencies(work& current)
{
    const httplib::Request& request = current.request;
    const std::optional<std::uint64_t> remaining_ms =
        parse_number(request.get_header_value("Laburnum-Deadline-Ms"));
    const dependency_calls::result ended = this->dependencies->run(
        current.path,
        {.handle = request.get_header_value("Laburnum-Call"),
         .nonce = current.identity.nonce,
         .idempotency_key = current.identity.idempotency_key,
         .timeout = remaining_ms ? std::chrono::milliseconds{*remaining_ms} : default_call_timeout},
        current.caller);
    if (ended.ended == dependency_calls::outcome::done)
    {
        return true;
    }
    if (ended.ended == dependency_calls::outcome::damaged)
    {
        this->record.add_damaged_dependency_answer();
    }
    const bool refused = ended.status == 503 || ended.status == 429;
    answer_json(current.response, refused ? 503 : 502,
                nlohmann::json{{"error", "dependency failed"},
                               {"dependency", ended.path},
                               {"dependency_status", ended.status}}
                    .dump());
    for (const auto& [name, value] : ended.verdict)
    {
        current.response.set_header(name, value);
    }
    return false;
}

void upstream_standin::answer(work& current)
{
    std::uint64_t bytes = this->options.answer_bytes;
    if (current.request.has_param("answer_bytes"))
    {
        bytes = parse_number(current.request.get_param_value("answer_bytes")).value_or(bytes);
    }
    const std::string body = write_answer({.service = this->options.service,
                                           .instance = this->options.instance,
                                           .request_id = current.identity.request_id},
                                          check_value(current.identity.nonce, current.request.body),
                                          std::min<std::uint64_t>(bytes, most_answer_bytes));
    current.caller.pace_writes(this->faults.current().writer_bytes_per_second);
    this->answer_damaged(current, body);
}

void upstream_standin::answer_damaged(work& current, const std::string& body)
{
    const upstream_faults::damage damage = this->faults.next_damage();
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    const auto length_line = [](std::int64_t length)
    { return "Content-Length: " + std::to_string(std::max<std::int64_t>(0, length)) + "\r\n\r\n"; };
    const auto length = static_cast<std::int64_t>(body.size());
    switch (damage)
    {
    case upstream_faults::damage::none:
        answer_json(current.response, 200, body);
        return;
    case upstream_faults::damage::cut:
        current.caller.write_raw(head + length_line(length) + body.substr(0, body.size() / 2));
        current.caller.discard_answer();
        return;
    case upstream_faults::damage::wrong_length:
        current.caller.write_raw(head + length_line(length + this->faults.current().length_delta) + body);
        current.caller.swallow_answer();
        return;
    case upstream_faults::damage::no_length:
        current.caller.write_raw(head + "Connection: close\r\n\r\n" + body);
        current.caller.discard_answer();
        return;
    }
}

void upstream_standin::inspect(const work& current)
{
    for (const auto& [name, value] : current.request.headers)
    {
        this->record.inspect(current.identity, "header " + name, value);
    }
    this->record.inspect(current.identity, "target", current.request.target);
    this->record.inspect(current.identity, "path", current.path);
    for (const auto& [name, value] : current.request.params)
    {
        this->record.inspect(current.identity, "parameter " + name, value);
    }
    this->record.inspect(current.identity, "body", current.request.body);
}

std::optional<std::string> upstream_standin::announcement()
{
    const upstream_faults::lasting current = this->faults.current();
    this->past_loads.push_front(this->load());
    this->past_loads.resize(std::min(this->past_loads.size(), most_load_lag));
    if (current.stop_announcing)
    {
        return std::nullopt;
    }
    const double lagging = this->past_loads[std::min(current.load_lag, this->past_loads.size() - 1)];
    return nlohmann::json{{"service", this->options.service},
                          {"instance", this->options.instance},
                          {"address", this->options.server.listen.ip},
                          {"port", this->port()},
                          {"slots", this->options.slots},
                          {"zone", this->options.zone},
                          {"state", this->draining ? "draining" : "ready"},
                          {"load", current.announced_load.value_or(lagging)}}
        .dump();
}

double upstream_standin::load() const
{
    const slot_queue::occupancy now = this->slots.now();
    return static_cast<double>(now.busy + now.waiting) / static_cast<double>(this->options.slots);
}

} // namespace laburnumreach::standin
