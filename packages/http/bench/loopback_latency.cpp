// Prints the latency of a closed-loop client against the server on loopback, and the CPU cost of idle
// connections.

#include "laburnumreach/http/client_pool.hpp"
#include "laburnumreach/http/server.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace
{

namespace core = laburnumreach::core;
namespace http = laburnumreach::http;

constexpr std::size_t idle_connections = 1700;

double microseconds(core::duration value)
{
    return std::chrono::duration<double, std::micro>(value).count();
}

double cpu_seconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& value)
    { return static_cast<double>(value.tv_sec) + 1e-6 * static_cast<double>(value.tv_usec); };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Runs exchanges sequentially and prints the median and the 99th percentile of their latency.
void measure(const char* name, http::client_pool& pool, const http::endpoint& destination, int count,
             std::chrono::milliseconds pause)
{
    std::vector<core::duration> samples;
    for (int index = 0; index < count; ++index)
    {
        std::this_thread::sleep_for(pause);
        const core::time_point begin = core::boot_clock::now();
        if (!pool.send(destination, {}).complete())
        {
            std::printf("%s: exchange failed\n", name);
            return;
        }
        samples.push_back(core::boot_clock::now() - begin);
    }
    std::sort(samples.begin(), samples.end());
    std::printf("%s: n=%zu p50=%.0f us p99=%.0f us\n", name, samples.size(),
                microseconds(samples[samples.size() / 2]), microseconds(samples[samples.size() * 99 / 100]));
}

} // namespace

int main()
{
    constexpr std::chrono::milliseconds no_pause{0};
    constexpr std::chrono::milliseconds pause{10};
    constexpr std::chrono::seconds observation{5};
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);

    const auto server =
        http::server::start({.workers = 8}, [](http::incoming_request&, http::response& answer)
                            { answer.body = std::string(200, 'x'); });
    if (!server)
    {
        std::printf("%s\n", server.error().message.c_str());
        return 1;
    }
    const http::endpoint destination{.address = "127.0.0.1", .port = (*server)->port()};
    http::client_pool pool{{.max_idle_per_destination = 2 * idle_connections}};
    measure("busy", pool, destination, 20'000, no_pause);
    measure("after 10 ms idle", pool, destination, 500, pause);

    for (std::size_t count = 0; count < idle_connections; ++count)
    {
        pool.probe(destination, std::chrono::seconds{1});
    }
    const double before = cpu_seconds();
    std::this_thread::sleep_for(observation);
    const double used = (cpu_seconds() - before) / static_cast<double>(observation.count());
    std::printf("%zu idle connections: %.3f %% of a core\n", pool.idle_count(), 100.0 * used);
    measure("busy with idle connections", pool, destination, 20'000, no_pause);
    measure("after 10 ms idle with idle connections", pool, destination, 500, pause);
    return 0;
}
