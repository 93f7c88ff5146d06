#include "closed_loop.hpp"
#include "daemon_fleet.hpp"
#include "parts.hpp"

#include "laburnumreach/http/client_pool.hpp"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <iostream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace laburnumreach::capacity_bench
{

namespace
{

constexpr std::uint16_t upstream_port = 7201;
constexpr core::duration slice = std::chrono::milliseconds{600};
constexpr int rounds = 3;

nlohmann::json as_json(const closed_loop_result& result)
{
    return {{"calls_per_s", static_cast<double>(result.completed) / result.seconds},
            {"failed", result.failed},
            {"reasons", result.reasons},
            {"p50_ms", result.p50_ms},
            {"p99_ms", result.p99_ms}};
}

/// Waits until calls through the daemons succeed.
void wait_for_path(const closed_loop_options& through)
{
    for (int attempt = 0; attempt < 60; ++attempt)
    {
        closed_loop_options probe = through;
        probe.callers = 1;
        probe.time = std::chrono::milliseconds{200};
        const closed_loop_result result = run_closed_loop(probe);
        if (result.completed > 10 * result.failed)
        {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
    }
    closed_loop_options last = through;
    last.time = std::chrono::milliseconds{200};
    throw std::runtime_error("calls through the daemons do not succeed: " +
                             as_json(run_closed_loop(last)).dump());
}

/// Runs both paths in turn, so that other load on the machine meets both.
nlohmann::json measure_callers(const daemon_fleet& fleet, closed_loop_options through,
                               closed_loop_options direct, std::size_t callers)
{
    through.callers = callers;
    direct.callers = callers;
    through.time = slice;
    direct.time = slice;
    nlohmann::json result{{"callers", callers}, {"rounds", nlohmann::json::array()}};
    double entry_seconds = 0.0;
    double exit_seconds = 0.0;
    double entry_control = 0.0;
    double exit_control = 0.0;
    double seconds = 0.0;
    double calls = 0.0;
    for (int round = 0; round < rounds; ++round)
    {
        const closed_loop_result without = run_closed_loop(direct);
        const process::process_usage entry_before = fleet.processes()[0].usage();
        const process::process_usage exit_before = fleet.processes()[1].usage();
        const closed_loop_result with = run_closed_loop(through);
        const process::process_usage entry_after = fleet.processes()[0].usage();
        const process::process_usage exit_after = fleet.processes()[1].usage();
        // The control thread is counted apart: its cost does not follow the number of calls.
        entry_control += entry_after.control_seconds - entry_before.control_seconds;
        exit_control += exit_after.control_seconds - exit_before.control_seconds;
        entry_seconds += entry_after.total_seconds - entry_before.total_seconds;
        exit_seconds += exit_after.total_seconds - exit_before.total_seconds;
        seconds += with.seconds;
        calls += static_cast<double>(with.completed + with.failed);
        result["rounds"].push_back({{"direct", as_json(without)},
                                    {"daemons", as_json(with)},
                                    {"added_p50_ms", with.p50_ms - without.p50_ms},
                                    {"added_p99_ms", with.p99_ms - without.p99_ms},
                                    {"load_average", load_average()}});
    }
    result["entry_cpu_ms_per_call"] = 1000.0 * (entry_seconds - entry_control) / calls;
    result["exit_cpu_ms_per_call"] = 1000.0 * (exit_seconds - exit_control) / calls;
    result["entry_control_core_percent"] = 100.0 * entry_control / seconds;
    result["exit_control_core_percent"] = 100.0 * exit_control / seconds;
    return result;
}

nlohmann::json measure_service_time(const bench_options& options, double service_time_ms)
{
    const std::string address = service_time_ms > 0.0 ? "127.77.1.2" : "127.77.1.1";
    daemon_fleet fleet{{.build_dir = options.build_dir,
                        .work_dir = options.work_dir,
                        .address = address,
                        .daemons = 2,
                        .zones = 1,
                        .workers = 32}};
    fleet.wait_until_settled(15.0);
    fleet.start_upstream(1, upstream_port, service_time_ms);
    const closed_loop_options through{.target = {.address = address, .port = fleet.caller_port(0)},
                                      .path = daemon_fleet::caller_path(),
                                      .key = std::string{caller_key}};
    const closed_loop_options direct{.target = {.address = address, .port = upstream_port},
                                     .path = daemon_fleet::upstream_path(),
                                     .key = {}};
    wait_for_path(through);
    // Lets the concurrency limit of the exit daemon grow from its cold start.
    closed_loop_options warm_up = through;
    warm_up.callers = 16;
    warm_up.time = std::chrono::seconds{2};
    run_closed_loop(warm_up);
    nlohmann::json result{{"service_time_ms", service_time_ms}, {"steps", nlohmann::json::array()}};
    for (const std::size_t callers : {std::size_t{1}, std::size_t{4}, std::size_t{16}})
    {
        result["steps"].push_back(measure_callers(fleet, through, direct, callers));
        std::cout << "calls " << service_time_ms << " ms " << result["steps"].back().dump() << std::endl;
    }
    return result;
}

/// Opens connections that each carried one request and then stay idle.
class idle_connections
{
public:
    explicit idle_connections(const http::endpoint& server)
    {
        this->address.sin_family = AF_INET;
        this->address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.address.c_str(), &this->address.sin_addr);
    }
    idle_connections(const idle_connections&) = delete;
    idle_connections& operator=(const idle_connections&) = delete;
    ~idle_connections()
    {
        for (const int descriptor : this->descriptors)
        {
            ::close(descriptor);
        }
    }

    void grow_to(std::size_t count)
    {
        while (this->descriptors.size() < count)
        {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
            this->descriptors.push_back(descriptor);
            if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&this->address),
                          sizeof(this->address)) != 0)
            {
                continue;
            }
            const std::string request = "GET " + daemon_fleet::caller_path() +
                                        " HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer " +
                                        std::string{caller_key} + "\r\n\r\n";
            std::array<char, 4096> response{};
            if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0)
            {
                this->answered += ::recv(descriptor, response.data(), response.size(), 0) > 0 ? 1U : 0U;
            }
        }
    }

    std::size_t answered_count() const noexcept { return this->answered; }

private:
    sockaddr_in address{};
    std::vector<int> descriptors;
    std::size_t answered = 0;
};

nlohmann::json measure_connections(const bench_options& options)
{
    const std::string address = "127.77.1.3";
    // The default number of workers, to show the memory of a daemon as it is deployed.
    daemon_fleet fleet{{.build_dir = options.build_dir,
                        .work_dir = options.work_dir,
                        .address = address,
                        .daemons = 1,
                        .zones = 1,
                        .workers = 320}};
    fleet.wait_until_settled(15.0);
    std::this_thread::sleep_for(std::chrono::seconds{1});
    idle_connections connections{{.address = address, .port = fleet.caller_port(0)}};
    nlohmann::json result = nlohmann::json::array();
    for (const std::size_t count : {std::size_t{0}, std::size_t{500}, std::size_t{1000}, std::size_t{1500}})
    {
        connections.grow_to(count);
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        const process::process_usage used = fleet.processes()[0].usage();
        result.push_back({{"connections", count},
                          {"answered", connections.answered_count()},
                          {"resident_mb", used.resident_mb},
                          {"threads", used.threads},
                          {"load_average", load_average()}});
        std::cout << "connections " << result.back().dump() << std::endl;
    }
    return result;
}

} // namespace

nlohmann::json measure_calls(const bench_options& options)
{
    nlohmann::json result;
    result["connections"] = measure_connections(options);
    result["latency"] =
        nlohmann::json::array({measure_service_time(options, 0.0), measure_service_time(options, 1.0)});
    return result;
}

} // namespace laburnumreach::capacity_bench
