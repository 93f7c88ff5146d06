#include "laburnumreach/process/child_process.hpp"
#include "parts.hpp"

#include <CLI/CLI.hpp>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace laburnumreach::capacity_bench
{

double load_average()
{
    std::array<double, 1> value{};
    return ::getloadavg(value.data(), 1) == 1 ? value[0] : -1.0;
}

} // namespace laburnumreach::capacity_bench

int main(int argc, char** argv)
{
    using namespace laburnumreach::capacity_bench;
    bench_options options;
    std::string json_path;
    std::vector<std::string> parts{"gossip", "quota", "fleet", "calls"};
    CLI::App app{"Measures what a daemon costs; see docs/CAPACITY.md. Times are not judged."};
    app.add_option("--build-dir", options.build_dir, "directory with the built programs")
        ->capture_default_str();
    app.add_option("--work-dir", options.work_dir, "directory for settings and logs")->capture_default_str();
    app.add_option("--json", json_path, "file for the results");
    app.add_option("--part", parts, "gossip, quota, fleet, calls; repeatable")->capture_default_str();
    app.add_option("--fleet-size", options.fleet_sizes, "daemon processes, ascending; repeatable");
    app.add_option("--members", options.member_counts, "members in virtual time, ascending; repeatable");
    CLI11_PARSE(app, argc, argv);

    laburnumreach::process::child_process::end_all_on_signals();
    using part_function = nlohmann::json (*)(const bench_options&);
    const std::map<std::string, part_function> known{{"gossip", measure_gossip},
                                                     {"quota", measure_quota},
                                                     {"fleet", measure_fleets},
                                                     {"calls", measure_calls}};
    nlohmann::json results{{"cores", std::thread::hardware_concurrency()},
                           {"load_average_at_start", load_average()}};
    try
    {
        for (const std::string& part : parts)
        {
            results[part] = known.at(part)(options);
        }
    }
    catch (const std::exception& error)
    {
        std::cerr << "capacity_bench: " << error.what() << "\n";
        return 1;
    }
    results["load_average_at_end"] = load_average();
    if (!json_path.empty())
    {
        std::ofstream{json_path} << results.dump(2) << "\n";
    }
    return 0;
}
