#include "laburnumreach/core/priority_class.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace laburnumreach::core
{

namespace
{

constexpr std::array<std::string_view, priority_class_count> names{"critical_fast", "critical", "normal",
                                                                   "bulk"};

} // namespace

std::string_view to_string(priority_class value) noexcept
{
    return names[static_cast<std::size_t>(value)];
}

std::optional<priority_class> parse_priority_class(std::string_view name) noexcept
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
    {
        return std::nullopt;
    }
    return static_cast<priority_class>(std::distance(names.begin(), found));
}

} // namespace laburnumreach::core
