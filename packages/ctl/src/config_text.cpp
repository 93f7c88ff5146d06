#include "laburnumreach/ctl/config_text.hpp"

#include "laburnumreach/config/fleet_config_toml.hpp"

#include <fstream>
#include <iostream>

namespace laburnumreach::ctl
{

core::result<std::string> read_text(const std::string& path)
{
    std::ifstream file;
    const bool standard_input = path == "-";
    if (!standard_input)
    {
        file.open(path, std::ios::binary);
    }
    std::istream& stream = standard_input ? std::cin : file;
    // One byte more than allowed is read, so that a longer text is noticed without reading all of it.
    std::string text(config::fleet_limits::text_bytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || (stream.fail() && !stream.eof()))
    {
        return core::make_error(core::error_code::invalid_argument, "cannot read '" + path + "'");
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

report fault_report(std::string_view source, std::span<const config::parse_error> faults)
{
    report result{.code = exit_code::refused, .text = {}, .json = {{"valid", false}}};
    result.json["errors"] = nlohmann::ordered_json::array();
    for (const config::parse_error& fault : faults)
    {
        result.text += std::string{source} + ": " + config::to_string(fault) + "\n";
        result.json["errors"].push_back(
            {{"line", fault.line}, {"column", fault.column}, {"reason", fault.reason}});
    }
    return result;
}

report validate(std::string_view source, std::string_view text)
{
    const auto parsed = config::parse_fleet_config(text);
    if (!parsed)
    {
        return fault_report(source, parsed.error());
    }
    return {.code = exit_code::ok,
            .text = std::string{source} + ": valid, " + std::to_string(parsed->services.size()) +
                    " services, " + std::to_string(parsed->routes.size()) + " routes, " +
                    std::to_string(parsed->tenants.size()) + " tenants\n",
            .json = {{"valid", true}}};
}

void add_changes(report& target, std::span<const config::fleet_change> changes)
{
    target.json["changes"] = nlohmann::ordered_json::array();
    for (const config::fleet_change& change : changes)
    {
        target.text += config::to_string(change) + "\n";
        nlohmann::ordered_json entry{{"kind", config::to_string(change.kind)}, {"subject", change.subject}};
        if (!change.field.empty())
        {
            entry["field"] = change.field;
            entry["before"] = change.before;
            entry["after"] = change.after;
        }
        target.json["changes"].push_back(std::move(entry));
    }
    if (changes.empty())
    {
        target.text += "no changes\n";
    }
}

} // namespace laburnumreach::ctl
