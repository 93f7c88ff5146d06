#include "laburnumreach/core/read_file.hpp"
#include "laburnumreach/standin/load_generator.hpp"
#include "laburnumreach/standin/load_report.hpp"
#include "laburnumreach/standin/load_scenario.hpp"
#include "laburnumreach/standin/run_judgement.hpp"
#include "laburnumreach/standin/upstream_records.hpp"

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace laburnumreach;

constexpr const char* description = "Load tool for daemons and upstream stand-ins on loopback addresses.\n"
                                    "Exit status: 0, 1 when the upstreams' records show a violation and "
                                    "--check is given, 2 on wrong options.";

constexpr const char* scenario_help = R"(Scenario (TOML), with defaults:
  seed = 1
  loop = "open"               # open: Poisson arrivals; closed: callers that wait for each answer
  rate = 100.0                # open: requests per second at multiplier 1
  callers = 10                # closed: callers at multiplier 1
  think_ms = 0                # closed: pause between requests of a caller
  workers = 200               # threads and connections, at most 400
  most_requests = 1000000
  drain_ms = 5000             # longest wait for open requests at the end
  daemons = ["127.0.0.1:7001"]    # caller endpoints
  upstreams = ["127.0.0.1:7201"]  # upstream stand-ins (main or control port)
  retry = "none"              # none, retry_after, hard
  most_retries = 3
  duplicate_share = 0.0       # of the requests that are not idempotent
  duplicate_delay_ms = 100
  [[phase]]                   # name, duration_ms, multiplier = 1.0
  [[tenant]]                  # name, key, place = "bearer"|"api_key"|"query", share = 1.0
  [[tenant.surge]]            # from_ms, to_ms, factor
  [[kind]]                    # name, service, method = "GET", path, priority = "normal", share = 1.0,
                              # body_bytes = 0, idempotent = true, timeout_ms = 2000)";

/// Set by the signal handler; a pointer, because the generator is built after the options are known.
std::atomic<standin::load_generator*> running{nullptr};

void end_run(int)
{
    if (standin::load_generator* const generator = running.load())
    {
        generator->stop();
    }
}

/// Options as they stand on the command line.
struct command_line
{
    std::string scenario_file;
    std::string report_file;
    std::vector<std::string> daemons;
    std::vector<std::string> upstreams;
    std::optional<std::uint64_t> seed;
    std::optional<double> rate;
    bool check = false;
};

core::result<void> replace_addresses(const std::vector<std::string>& texts,
                                     std::vector<standin::loopback_address>& addresses)
{
    std::vector<standin::loopback_address> parsed;
    for (const std::string& text : texts)
    {
        const auto address = standin::parse_loopback_address(text);
        if (!address)
        {
            return tl::unexpected(address.error());
        }
        parsed.push_back(*address);
    }
    if (!parsed.empty())
    {
        addresses = std::move(parsed);
    }
    return {};
}

core::result<standin::load_scenario> read_scenario(const command_line& line)
{
    const std::string text = core::read_file(line.scenario_file).value_or("");
    core::result<standin::load_scenario> scenario = standin::parse_load_scenario(text);
    if (!scenario)
    {
        return scenario;
    }
    scenario->seed = line.seed.value_or(scenario->seed);
    scenario->rate = line.rate.value_or(scenario->rate);
    for (const core::result<void>& replaced : {replace_addresses(line.daemons, scenario->daemons),
                                               replace_addresses(line.upstreams, scenario->upstreams)})
    {
        if (!replaced)
        {
            return tl::unexpected(replaced.error());
        }
    }
    if (scenario->daemons.empty())
    {
        return core::make_error(core::error_code::invalid_argument, "no daemons to send to");
    }
    return scenario;
}

/// Claims of idempotency keys outlive a run, so the keys of two runs must differ even with the same seed.
std::string make_run_id()
{
    std::random_device device;
    std::ostringstream text;
    text << "r" << std::hex << device() << device();
    return text.str();
}

int run(const command_line& line, const standin::load_scenario& scenario)
{
    if (const auto reset = standin::reset_upstream_records(scenario); !reset)
    {
        std::cerr << reset.error().message << '\n';
        return 2;
    }
    standin::load_generator generator{scenario, make_run_id()};
    running = &generator;
    std::signal(SIGTERM, end_run);
    std::signal(SIGINT, end_run);
    const std::vector<standin::load_attempt> attempts = generator.run();
    running = nullptr;

    const standin::run_judgement judged =
        standin::judge_run(scenario, attempts, standin::read_upstream_records(scenario));
    const standin::load_report report{scenario, attempts, judged};
    std::cout << report.to_table();
    if (!line.report_file.empty())
    {
        std::ofstream{line.report_file} << report.to_json() << '\n';
    }
    return line.check && !judged.clean() ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line;
    CLI::App app{description};
    app.footer(scenario_help);
    app.add_option("--scenario", line.scenario_file, "TOML file, see below")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--report", line.report_file, "JSON file for the results");
    app.add_option("--daemon", line.daemons, "<ip>:<port>, repeatable; replaces the scenario's daemons");
    app.add_option("--upstream", line.upstreams,
                   "<ip>:<port>, repeatable; replaces the scenario's upstreams");
    app.add_option("--seed", line.seed, "replaces the scenario's seed");
    app.add_option("--rate", line.rate, "replaces the scenario's rate");
    app.add_flag("--check", line.check, "exit with 1 when the records are not clean");
    CLI11_PARSE(app, argc, argv);

    const core::result<standin::load_scenario> scenario = read_scenario(line);
    if (!scenario)
    {
        std::cerr << scenario.error().message << '\n';
        return 2;
    }
    return run(line, *scenario);
}
