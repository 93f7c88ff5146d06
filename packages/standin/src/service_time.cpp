#include "laburnumreach/standin/service_time.hpp"

#include <cmath>
#include <utility>

namespace laburnumreach::standin
{

core::result<service_time_rule> parse_service_time_rule(std::string_view text)
{
    const std::size_t equals = text.rfind('=');
    const std::size_t colon = text.rfind(':');
    if (equals != std::string_view::npos && colon != std::string_view::npos && equals < colon)
    {
        const std::string_view kind = text.substr(equals + 1, colon - equals - 1);
        const std::string number{text.substr(colon + 1)};
        std::size_t used = 0;
        double milliseconds = -1.0;
        try
        {
            milliseconds = std::stod(number, &used);
        }
        catch (const std::exception&)
        {
            used = std::string::npos;
        }
        if (used == number.size() && milliseconds >= 0.0 && (kind == "fixed" || kind == "exponential"))
        {
            return service_time_rule{.path_prefix = std::string{text.substr(0, equals)},
                                     .exponential = kind == "exponential",
                                     .mean = std::chrono::duration_cast<core::duration>(
                                         std::chrono::duration<double, std::milli>(milliseconds))};
        }
    }
    return core::make_error(core::error_code::invalid_argument,
                            "expected <path prefix>=fixed|exponential:<ms> instead of " + std::string{text});
}

service_time::service_time(std::vector<service_time_rule> prefix_rules, core::duration other_paths,
                           std::vector<slow_period> periods, std::uint64_t seed)
    : rules(std::move(prefix_rules)), fallback(other_paths), slow_periods(std::move(periods)), random(seed)
{
}

core::duration service_time::draw(std::string_view path, core::duration age)
{
    const service_time_rule* matching = nullptr;
    for (const service_time_rule& rule : this->rules)
    {
        if (path.starts_with(rule.path_prefix) &&
            (matching == nullptr || rule.path_prefix.size() > matching->path_prefix.size()))
        {
            matching = &rule;
        }
    }
    double scale = 1.0;
    if (matching != nullptr && matching->exponential)
    {
        const std::lock_guard lock{this->mutex};
        scale = -std::log(1.0 - this->random.uniform());
    }
    for (const slow_period& period : this->slow_periods)
    {
        if (age >= period.begin && age < period.end)
        {
            scale *= period.factor;
        }
    }
    const core::duration mean = matching == nullptr ? this->fallback : matching->mean;
    return std::chrono::duration_cast<core::duration>(mean * scale);
}

} // namespace laburnumreach::standin
