#include "laburnumreach/standin/program.hpp"

#include "laburnumreach/standin/controlled_server.hpp"
#include "laburnumreach/standin/loopback_address.hpp"

#include <csignal>
#include <iostream>
#include <pthread.h>

namespace laburnumreach::standin
{

namespace
{

sigset_t end_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void add_server_options(CLI::App& app, controlled_server_options& options)
{
    const auto is_loopback = [](const std::string& text)
    {
        const core::result<std::string> checked = parse_loopback_ip(text);
        return checked ? std::string{} : checked.error().message;
    };
    app.set_config("--settings", "", "file with these options in TOML");
    app.add_option("--address", options.listen.ip, "IPv4 loopback address")
        ->check(is_loopback)
        ->capture_default_str();
    app.add_option("--port", options.listen.port, "0 picks one");
    app.add_option("--control-port", options.control_port,
                   "second listener for /control, which also answers while connections are refused");
    app.add_option("--most-connections", options.most_connections, "one thread each")->capture_default_str();
}

void block_end_signals()
{
    const sigset_t signals = end_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_end(const std::string& ready_line)
{
    std::cout << ready_line << std::endl;
    const sigset_t signals = end_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace laburnumreach::standin
