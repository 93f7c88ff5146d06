#include "laburnumreach/standin/platform_standin.hpp"

#include "laburnumreach/standin/program.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace laburnumreach;
    standin::platform_standin_options options;
    CLI::App app{"Stand-in for the object API of the platform, for tests on a loopback address"};
    app.add_option("--address", options.listen.ip, "IPv4 loopback address")->capture_default_str();
    app.add_option("--port", options.listen.port, "port of the object API; 0 picks one");
    app.add_option("--control-port", options.control_port,
                   "second listener for /control, which also answers while connections are refused");
    app.add_option("--writes-per-second", options.writes_per_second)->capture_default_str();
    app.add_option("--reads-per-second", options.reads_per_second)->capture_default_str();
    app.add_option("--most-connections", options.most_connections, "one thread each")->capture_default_str();
    app.add_option("--seed", options.seed, "seed of faults with a probability")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    if (const auto checked = standin::parse_loopback_ip(options.listen.ip); !checked)
    {
        std::cerr << checked.error().message << '\n';
        return 2;
    }
    standin::block_end_signals();
    standin::platform_standin platform{options};
    if (const auto started = platform.start(); !started)
    {
        std::cerr << started.error().message << '\n';
        return 1;
    }
    std::string ready = "ready port=" + std::to_string(platform.port());
    if (const auto control = platform.control_port())
    {
        ready += " control_port=" + std::to_string(*control);
    }
    standin::wait_for_end(ready);
    platform.stop();
    return 0;
}
