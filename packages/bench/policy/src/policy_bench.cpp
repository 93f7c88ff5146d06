#include "laburnumreach/policy_bench/policies.hpp"
#include "laburnumreach/policy_bench/report.hpp"
#include "laburnumreach/policy_bench/simulation.hpp"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

namespace bench = laburnumreach::policy_bench;

template <typename Policy>
bench::run_summary run_case(const bench::scenario& run, std::uint64_t seed)
{
    return bench::simulation<Policy>{run, seed}.run();
}

} // namespace

/// Runs the cases with the decision code of the daemon and with the baseline. The exit status says whether
/// the bounds on attempts and slots held; targets are only printed.
int main(int argc, char** argv)
{
    CLI::App app{"Bench of the overload decisions in virtual time"};
    std::uint64_t seed = 1;
    std::string json;
    std::string filter;
    bool with_naive = true;
    app.add_option("--seed", seed, "seed of the random numbers");
    app.add_option("--json", json, "file for the results with time series");
    app.add_option("--case", filter, "run only cases whose name contains this text");
    app.add_flag("!--no-naive", with_naive, "leave the baseline out");
    CLI11_PARSE(app, argc, argv);
    try
    {
        bool held = true;
        std::vector<bench::case_result> results;
        for (const bench::scenario& run : bench::all_scenarios())
        {
            if (run.name.find(filter) == std::string::npos)
            {
                continue;
            }
            bench::case_result result{.run = run, .summaries = {run_case<bench::overload_policy>(run, seed)}};
            held = held && bench::invariants_hold(run, result.summaries.front());
            if (with_naive)
            {
                result.summaries.push_back(run_case<bench::naive_policy>(run, seed));
            }
            results.push_back(std::move(result));
        }
        std::cout << "seed " << seed << "\n";
        bench::print_table(std::cout, results);
        if (!json.empty())
        {
            std::ofstream file{json};
            file << bench::to_json(results, seed) << "\n";
            if (!file)
            {
                std::cerr << "cannot write " << json << "\n";
                return 1;
            }
        }
        std::cout << "\nbounds on attempts and slots " << (held ? "held" : "were exceeded") << "\n";
        return held ? 0 : 1;
    }
    catch (const std::exception& failure)
    {
        std::cerr << failure.what() << "\n";
        return 1;
    }
}
