#include "laburnumreach/policy_bench/report.hpp"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

namespace laburnumreach::policy_bench
{

std::vector<target_check> check_targets(const scenario& run, const run_summary& summary)
{
    return {
        {.name = "goodput", .value = summary.goodput_share, .bound = 0.95},
        {.name = "important",
         .value = summary.important_share,
         .bound = 0.99,
         .applies = run.important_load_fits()},
        {.name = "recovery_s", .value = summary.recovery_seconds, .bound = 1.0, .at_least = false},
        {.name = "worst_tenant", .value = summary.worst_tenant_share, .bound = 0.9},
        {.name = "wasted_work", .value = summary.wasted_work_share, .bound = 0.02, .at_least = false},
        {.name = "attempts", .value = summary.mean_attempts, .bound = 1.1, .at_least = false},
    };
}

bool invariants_hold(const scenario& run, const run_summary& summary)
{
    return !summary.slots_exceeded && summary.max_attempts <= run.attempts;
}

void print_table(std::ostream& out, const std::vector<case_result>& results)
{
    out << std::fixed << std::setprecision(3);
    for (const case_result& result : results)
    {
        out << "\n" << result.run.name << "\n";
        for (const run_summary& summary : result.summaries)
        {
            out << "  " << std::left << std::setw(14) << summary.policy << std::right;
            for (const target_check& check : check_targets(result.run, summary))
            {
                out << "  " << check.name << ' ' << check.value
                    << (!check.applies ? " (n/a)"
                        : check.met()  ? " (met)"
                                       : " (missed)");
            }
            out << "\n                max_attempts " << summary.max_attempts << "  requests "
                << summary.requests << "  last_failures_s " << summary.last_failures_seconds
                << "  alert_p99_ms " << summary.alert_p99_ms << "  completed by class";
            for (const double share : summary.completed_share)
            {
                out << ' ' << share;
            }
            out << "\n                failures";
            for (const core::reason why : core::all_reasons().subspan(1))
            {
                if (const auto count = summary.failures[static_cast<std::size_t>(why)]; count > 0)
                {
                    out << ' ' << core::to_string(why) << ' ' << count;
                }
            }
            out << "\n";
        }
    }
}

std::string to_json(const std::vector<case_result>& results, std::uint64_t seed)
{
    nlohmann::json cases = nlohmann::json::array();
    for (const case_result& result : results)
    {
        nlohmann::json runs = nlohmann::json::array();
        for (const run_summary& summary : result.summaries)
        {
            nlohmann::json targets;
            for (const target_check& check : check_targets(result.run, summary))
            {
                targets[check.name] = {{"value", check.value}, {"bound", check.bound}};
                targets[check.name]["met"] = check.applies ? nlohmann::json(check.met()) : nlohmann::json();
            }
            nlohmann::json series;
            for (const series_point& point : summary.series)
            {
                series["offered"].push_back(point.offered);
                series["completed"].push_back(point.completed);
                series["failed"].push_back(point.failed);
                series["deep_calls"].push_back(point.deep_calls);
                series["deep_level"].push_back(point.deep_level);
            }
            runs.push_back({{"policy", summary.policy},
                            {"targets", targets},
                            {"max_attempts", summary.max_attempts},
                            {"completed_share_by_class", summary.completed_share},
                            {"last_failures_s", summary.last_failures_seconds},
                            {"alert_p99_ms", summary.alert_p99_ms},
                            {"requests", summary.requests},
                            {"invariants_hold", invariants_hold(result.run, summary)},
                            {"series", series}});
        }
        cases.push_back({{"name", result.run.name},
                         {"trigger_begin_ms", result.run.trigger_begin / milliseconds{1}},
                         {"trigger_end_ms", result.run.trigger_end / milliseconds{1}},
                         {"bottleneck_per_s", result.run.bottleneck(true)},
                         {"runs", runs}});
    }
    return nlohmann::json{
        {"seed", seed}, {"bucket_ms", run_metrics::bucket / milliseconds{1}}, {"cases", cases}}
        .dump(1);
}

} // namespace laburnumreach::policy_bench
