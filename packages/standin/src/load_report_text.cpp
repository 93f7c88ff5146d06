#include "laburnumreach/standin/load_report.hpp"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

namespace laburnumreach::standin
{

namespace
{

double to_ms(core::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string list_counts(const std::map<std::string, std::uint64_t>& counts, std::string_view without)
{
    std::string text;
    for (const auto& [name, count] : counts)
    {
        if (name != without)
        {
            text += (text.empty() ? "" : " ") + name + "=" + std::to_string(count);
        }
    }
    return text;
}

nlohmann::json as_json(const load_report::group& row)
{
    const double requests = static_cast<double>(std::max<std::uint64_t>(row.requests, 1));
    return {{"by", row.by},
            {"name", row.name},
            {"requests", row.requests},
            {"attempts", row.attempts},
            {"attempts_per_request", static_cast<double>(row.attempts) / requests},
            {"whole", row.whole},
            {"whole_share", static_cast<double>(row.whole) / requests},
            {"endings", row.endings},
            {"reasons", row.reasons},
            {"verdicts", row.verdicts},
            {"p50_ms", to_ms(row.quantile(0.5))},
            {"p90_ms", to_ms(row.quantile(0.9))},
            {"p99_ms", to_ms(row.quantile(0.99))}};
}

nlohmann::json as_json(const run_judgement& judged)
{
    return {{"clean", judged.clean()},
            {"records_missing", judged.records_missing},
            {"dropped_entries", judged.dropped_entries},
            {"duplicates_run", judged.duplicates_run},
            {"wrong_verdicts", judged.wrong_verdicts},
            {"wrong_tenants", judged.wrong_tenants},
            {"keys_seen", judged.keys_seen},
            {"damaged_dependency_answers", judged.damaged_dependency_answers},
            {"work_ms", judged.work_ms},
            {"wasted_work_ms", judged.wasted_work_ms},
            {"examples", judged.examples}};
}

} // namespace

std::string load_report::to_table() const
{
    std::ostringstream table;
    table << std::left << std::setw(11) << "by" << std::setw(16) << "name" << std::right << std::setw(9)
          << "requests" << std::setw(9) << "attempts" << std::setw(9) << "whole" << std::setw(9) << "p50 ms"
          << std::setw(9) << "p90 ms" << std::setw(9) << "p99 ms"
          << "  other ends, reasons\n"
          << std::fixed << std::setprecision(1);
    for (const group& row : this->rows)
    {
        table << std::left << std::setw(11) << row.by << std::setw(16) << row.name << std::right
              << std::setw(9) << row.requests << std::setw(9) << row.attempts << std::setw(9) << row.whole
              << std::setw(9) << to_ms(row.quantile(0.5)) << std::setw(9) << to_ms(row.quantile(0.9))
              << std::setw(9) << to_ms(row.quantile(0.99)) << "  " << list_counts(row.endings, "whole");
        if (!row.reasons.empty())
        {
            table << " (" << list_counts(row.reasons, "") << ")";
        }
        table << '\n';
    }
    table << "verdicts of all: " << list_counts(this->rows.front().verdicts, "") << '\n'
          << "records: duplicates run " << this->judgement.duplicates_run << ", wrong verdicts "
          << this->judgement.wrong_verdicts << ", wrong tenants " << this->judgement.wrong_tenants
          << ", keys seen " << this->judgement.keys_seen << ", damaged dependency answers "
          << this->judgement.damaged_dependency_answers << ", records missing "
          << this->judgement.records_missing << ", wasted work "
          << (this->judgement.work_ms > 0.0 ? 100.0 * this->judgement.wasted_work_ms / this->judgement.work_ms
                                            : 0.0)
          << "%\n";
    for (const std::string& example : this->judgement.examples)
    {
        table << "  " << example << '\n';
    }
    return table.str();
}

std::string load_report::to_json() const
{
    nlohmann::json group_rows = nlohmann::json::array();
    for (const group& row : this->rows)
    {
        group_rows.push_back(as_json(row));
    }
    nlohmann::json bucket_rows = nlohmann::json::array();
    for (std::size_t index = 0; index < this->buckets.size(); ++index)
    {
        const bucket& each = this->buckets[index];
        bucket_rows.push_back({{"t_ms", static_cast<std::int64_t>(index) * bucket_length.count()},
                               {"sent", each.sent},
                               {"attempts", each.attempts},
                               {"whole", each.whole},
                               {"refused", each.refused},
                               {"whole_by_priority", each.whole_by_priority},
                               {"whole_by_tenant", each.whole_by_tenant}});
    }
    return nlohmann::json{{"seed", this->seed},
                          {"bucket_ms", bucket_length.count()},
                          {"groups", std::move(group_rows)},
                          {"judgement", as_json(this->judgement)},
                          {"series", std::move(bucket_rows)}}
        .dump(1);
}

} // namespace laburnumreach::standin
