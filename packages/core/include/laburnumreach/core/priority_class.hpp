#ifndef LABURNUMREACH_CORE_PRIORITY_CLASS_HPP
#define LABURNUMREACH_CORE_PRIORITY_CLASS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace laburnumreach::core
{

/// Priority class of a route, in descending order of importance.
enum class priority_class : std::uint8_t
{
    critical_fast, ///< Served first and shed last, for example alerts and route checks.
    critical,      ///< Shed last, for example validations and orders.
    normal,        ///< May be slow but must complete, for example page requests.
    bulk,          ///< Long uploads; not aborted once admitted.
};

/// Number of values of priority_class.
inline constexpr std::size_t priority_class_count = 4;

/// Returns the name used in the fleet configuration and in metric labels.
std::string_view to_string(priority_class value) noexcept;

/// Parses a name produced by to_string.
/// @returns no value for an unknown name
std::optional<priority_class> parse_priority_class(std::string_view name) noexcept;

} // namespace laburnumreach::core

#endif
