#include "laburnumreach/standin/platform_standin.hpp"

#include "laburnumreach/standin/program.hpp"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace laburnumreach;
    standin::platform_standin_options options;
    CLI::App app{"Stand-in for the object API of the platform, for tests on a loopback address"};
    standin::add_server_options(app, options.server);
    app.add_option("--writes-per-second", options.writes_per_second)->capture_default_str();
    app.add_option("--reads-per-second", options.reads_per_second)->capture_default_str();
    app.add_option("--seed", options.seed, "seed of faults with a probability")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    return standin::run_until_end<standin::platform_standin>(options, [](standin::platform_standin&) {});
}
