#ifndef LABURNUMREACH_CORE_PRIORITY_CLASS_HPP
#define LABURNUMREACH_CORE_PRIORITY_CLASS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace laburnumreach::core
{

/// Priority class of a route, the most important first.
enum class priority_class : std::uint8_t
{
    critical_fast, ///< Shed last and served first: alerts, route checks.
    critical,      ///< Shed last: validations, orders.
    normal,        ///< May be slow but must arrive: pages.
    bulk,          ///< Long uploads; once admitted they are not cut.
};

/// Number of values of priority_class.
inline constexpr std::size_t priority_class_count = 4;

/// Returns the name used in the operators' text and in metric labels.
std::string_view to_string(priority_class value) noexcept;

/// Parses a name produced by to_string.
/// @returns no value for an unknown name
std::optional<priority_class> parse_priority_class(std::string_view name) noexcept;

} // namespace laburnumreach::core

#endif
