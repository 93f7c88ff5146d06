#include "laburnumreach/ctl/fleet_status.hpp"

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/ctl/reason_guide.hpp"
#include "laburnumreach/platform/percent_encoding.hpp"
#include "laburnumreach/platform/zone_record.hpp"

#include <algorithm>

namespace laburnumreach::ctl
{

namespace
{

using json = nlohmann::ordered_json;
using row = std::vector<std::string>;

/// Returns lines with aligned columns. The last cell of a row does not widen its column, so that a long error
/// message leaves the other rows as they are.
std::string table(const std::vector<row>& rows)
{
    std::vector<std::size_t> widths;
    for (const row& cells : rows)
    {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t column = 0; column + 1 < cells.size(); ++column)
        {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    std::string text;
    for (const row& cells : rows)
    {
        for (std::size_t column = 0; column + 1 < cells.size(); ++column)
        {
            text += cells[column] + std::string(widths[column] - cells[column].size() + 2, ' ');
        }
        text += (cells.empty() ? "" : cells.back()) + "\n";
    }
    return text;
}

std::string plain_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Reads a status answer; anything but a JSON object counts as no answer.
core::result<json> parse_answer(const config::endpoint& daemon, const core::result<std::string>& body)
{
    if (!body)
    {
        return tl::unexpected<core::error>{body.error()};
    }
    json answer = json::parse(*body, nullptr, false);
    if (!answer.is_object())
    {
        return core::make_error(core::error_code::unavailable,
                                config::to_string(daemon) + " did not answer with a JSON object");
    }
    return answer;
}

} // namespace

void add_zones(report& target, const core::result<std::vector<platform::object>>& records)
{
    if (!records)
    {
        target.code = exit_code_of(records.error().code);
        target.text += "zones: " + records.error().message + "\n";
        target.json["zones_error"] = records.error().message;
        return;
    }
    std::vector<row> rows{{"ZONE", "HOLDER", "EPOCH", "SUCCESSOR", "VERSION", "MEMBERS"}};
    target.json["zones"] = json::array();
    for (const platform::object& object : *records)
    {
        const std::string zone = object.name.substr(object.name.find('/') + 1);
        const auto record = platform::decode_zone_record(object.value);
        if (!record)
        {
            rows.push_back({zone, "damaged: " + record.error().message});
            target.json["zones"].push_back({{"zone", zone}, {"error", record.error().message}});
            continue;
        }
        rows.push_back({zone, record->holder.empty() ? "none (released)" : record->holder,
                        std::to_string(record->epoch), record->successor.empty() ? "-" : record->successor,
                        std::to_string(object.version), std::to_string(record->members.size())});
        target.json["zones"].push_back({{"zone", zone},
                                        {"holder", record->holder},
                                        {"incarnation", record->incarnation},
                                        {"epoch", record->epoch},
                                        {"successor", record->successor},
                                        {"version", object.version},
                                        {"members", record->members}});
    }
    target.text += table(rows);
}

void add_daemons(report& target, std::span<const config::endpoint> daemons, const admin_fetch& fetch)
{
    if (daemons.empty())
    {
        return;
    }
    row headings{"ADMIN"};
    std::vector<row> rows;
    target.json["daemons"] = json::array();
    for (const config::endpoint& daemon : daemons)
    {
        const std::string address = config::to_string(daemon);
        const auto answer = parse_answer(daemon, fetch(daemon, "/status"));
        row cells{address};
        if (!answer)
        {
            cells.push_back("error: " + answer.error().message);
            target.json["daemons"].push_back({{"admin", address}, {"error", answer.error().message}});
            rows.push_back(std::move(cells));
            continue;
        }
        target.json["daemons"].push_back({{"admin", address}, {"status", *answer}});
        for (const auto& [name, value] : answer->items())
        {
            if (value.is_structured())
            {
                continue;
            }
            const auto heading = std::find(headings.begin(), headings.end(), name);
            const auto column = static_cast<std::size_t>(heading - headings.begin());
            if (heading == headings.end())
            {
                headings.push_back(name);
            }
            cells.resize(std::max(cells.size(), column + 1));
            cells[column] = plain_text(value);
        }
        rows.push_back(std::move(cells));
    }
    rows.insert(rows.begin(), std::move(headings));
    target.text += table(rows);
}

report explain(std::string_view subject, const std::optional<config::endpoint>& daemon,
               const admin_fetch& fetch)
{
    if (const auto why = core::parse_reason(subject))
    {
        return explain_reason(*why);
    }
    if (!daemon)
    {
        return {.code = exit_code::usage,
                .text = "'" + std::string{subject} +
                        "' is no reason; to explain a request id, name its daemon with --admin\n",
                .json = {{"error", "--admin is missing"}}};
    }
    const auto answer =
        parse_answer(*daemon, fetch(*daemon, "/explain?request_id=" + platform::percent_encode(subject)));
    if (!answer)
    {
        return error_report(answer.error());
    }
    report result{.code = exit_code::ok, .text = answer->dump(2) + "\n", .json = *answer};
    const auto reason = answer->find("reason");
    const auto why = reason != answer->end() && reason->is_string()
                         ? core::parse_reason(reason->get<std::string>())
                         : std::nullopt;
    if (why)
    {
        result.text += explain_reason(*why).text;
    }
    return result;
}

} // namespace laburnumreach::ctl
