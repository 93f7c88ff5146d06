#include "laburnumreach/standin/upstream_standin.hpp"

#include "laburnumreach/standin/program.hpp"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace laburnumreach;

/// Options as they stand on the command line.
struct command_line
{
    std::string daemon;
    std::vector<std::string> service_times;
    std::vector<std::string> dependencies;
    std::string forbidden_text_file;
    double service_time_ms = 10.0;
    std::int64_t announce_ms = 1000;
    std::int64_t drain_least_ms = 300;
    std::int64_t drain_ms = 5000;
    std::int64_t cold_start_ms = 0;
    double cold_start_factor = 3.0;
    std::int64_t slow_after_ms = 0;
    std::int64_t slow_for_ms = 0;
    double slow_factor = 5.0;
};

void add_options(CLI::App& app, standin::upstream_standin_options& options, command_line& line)
{
    standin::add_server_options(app, options.server);
    app.add_option("--daemon", line.daemon, "<ip>:<port> of the daemon's local listener");
    app.add_option("--service", options.service)->capture_default_str();
    app.add_option("--instance", options.instance)->capture_default_str();
    app.add_option("--zone", options.zone)->capture_default_str();
    app.add_option("--slots", options.slots, "requests that run at the same time")->capture_default_str();
    app.add_option("--service-time-ms", line.service_time_ms, "of paths without a rule")
        ->capture_default_str();
    app.add_option("--service-time", line.service_times, "<path prefix>=fixed|exponential:<ms>, repeatable");
    app.add_option("--calls", line.dependencies,
                   "<path prefix>=[METHOD:]<service>/<path>,...; calls through the daemon, repeatable");
    app.add_option("--work-before-calls", options.work_before_calls, "share of the service time")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--cold-start-ms", line.cold_start_ms)->capture_default_str();
    app.add_option("--cold-start-factor", line.cold_start_factor)->capture_default_str();
    app.add_option("--slow-after-ms", line.slow_after_ms, "begin of the slow period")->capture_default_str();
    app.add_option("--slow-for-ms", line.slow_for_ms, "length of the slow period")->capture_default_str();
    app.add_option("--slow-factor", line.slow_factor)->capture_default_str();
    app.add_option("--announce-ms", line.announce_ms, "interval of announcements")->capture_default_str();
    app.add_option("--drain-least-ms", line.drain_least_ms, "time for requests on their way at the end")
        ->capture_default_str();
    app.add_option("--drain-ms", line.drain_ms, "longest wait for requests at the end")
        ->capture_default_str();
    app.add_option("--answer-bytes", options.answer_bytes)->capture_default_str();
    app.add_option("--forbidden-text-file", line.forbidden_text_file, "one text on each line");
    app.add_option("--seed", options.seed)->capture_default_str();
}

std::vector<std::string> read_lines(const std::string& path)
{
    std::vector<std::string> lines;
    std::ifstream file{path};
    for (std::string line; std::getline(file, line);)
    {
        lines.push_back(line);
    }
    return lines;
}

template <typename Rule>
core::result<void> parse_rules(const std::vector<std::string>& texts, std::vector<Rule>& rules,
                               core::result<Rule> (*parse)(std::string_view))
{
    for (const std::string& text : texts)
    {
        core::result<Rule> rule = parse(text);
        if (!rule)
        {
            return tl::unexpected(rule.error());
        }
        rules.push_back(*std::move(rule));
    }
    return {};
}

core::result<void> apply(const command_line& line, standin::upstream_standin_options& options)
{
    using std::chrono::milliseconds;
    if (!line.daemon.empty())
    {
        const auto daemon = standin::parse_loopback_address(line.daemon);
        if (!daemon)
        {
            return tl::unexpected(daemon.error());
        }
        options.daemon = *daemon;
    }
    options.other_service_time = std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(line.service_time_ms));
    options.announce_interval = milliseconds{line.announce_ms};
    options.slow_periods = {
        {.begin = milliseconds{0}, .end = milliseconds{line.cold_start_ms}, .factor = line.cold_start_factor},
        {.begin = milliseconds{line.slow_after_ms},
         .end = milliseconds{line.slow_after_ms + line.slow_for_ms},
         .factor = line.slow_factor}};
    if (!line.forbidden_text_file.empty())
    {
        options.forbidden_texts = read_lines(line.forbidden_text_file);
    }
    return parse_rules(line.service_times, options.service_times, standin::parse_service_time_rule)
        .and_then(
            [&]
            { return parse_rules(line.dependencies, options.dependencies, standin::parse_dependency_rule); });
}

} // namespace

int main(int argc, char** argv)
{
    standin::upstream_standin_options options;
    command_line line;
    CLI::App app{"Stand-in for an upstream of a service, for tests on a loopback address"};
    add_options(app, options, line);
    CLI11_PARSE(app, argc, argv);

    if (const auto applied = apply(line, options); !applied)
    {
        std::cerr << applied.error().message << '\n';
        return 2;
    }
    return standin::run_until_end<standin::upstream_standin>(
        options,
        [&line](standin::upstream_standin& upstream)
        {
            upstream.drain(std::chrono::milliseconds{line.drain_least_ms},
                           std::chrono::milliseconds{line.drain_ms});
        });
}
