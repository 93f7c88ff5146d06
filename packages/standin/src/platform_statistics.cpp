#include "laburnumreach/standin/platform_statistics.hpp"

#include <nlohmann/json.hpp>

namespace laburnumreach::standin
{

namespace
{

void accumulate(platform_statistics::counts& sum, const platform_statistics::counts& part)
{
    sum.calls += part.calls;
    sum.rejected += part.rejected;
    sum.failed += part.failed;
    sum.bytes_in += part.bytes_in;
    sum.bytes_out += part.bytes_out;
}

nlohmann::json as_json(const platform_statistics::counts& value)
{
    return {{"calls", value.calls},
            {"rejected", value.rejected},
            {"failed", value.failed},
            {"bytes_in", value.bytes_in},
            {"bytes_out", value.bytes_out}};
}

} // namespace

void platform_statistics::add(const std::string& kind, const std::string& daemon, const counts& call)
{
    const std::lock_guard lock{this->mutex};
    accumulate(this->daemons[daemon][kind], call);
}

std::string platform_statistics::to_json() const
{
    const std::lock_guard lock{this->mutex};
    counts total;
    counts_by_kind kinds;
    nlohmann::json by_daemon = nlohmann::json::object();
    for (const auto& [daemon, calls] : this->daemons)
    {
        for (const auto& [kind, value] : calls)
        {
            accumulate(total, value);
            accumulate(kinds[kind], value);
            by_daemon[daemon][kind] = as_json(value);
        }
    }
    nlohmann::json by_kind = nlohmann::json::object();
    for (const auto& [kind, value] : kinds)
    {
        by_kind[kind] = as_json(value);
    }
    return nlohmann::json{{"total", as_json(total)}, {"kinds", by_kind}, {"daemons", by_daemon}}.dump();
}

} // namespace laburnumreach::standin
