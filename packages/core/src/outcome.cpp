#include "laburnumreach/core/outcome.hpp"

#include <array>

namespace laburnumreach::core
{

std::string_view to_string(outcome value) noexcept
{
    switch (value)
    {
    case outcome::not_run:
        return "not_run";
    case outcome::may_have_run:
        return "may_have_run";
    case outcome::ran:
        return "ran";
    }
    return "may_have_run";
}

std::optional<outcome> parse_outcome(std::string_view name) noexcept
{
    constexpr std::array all{outcome::not_run, outcome::may_have_run, outcome::ran};
    for (const outcome value : all)
    {
        if (name == to_string(value))
        {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace laburnumreach::core
