#ifndef LABURNUMREACH_CORE_OUTCOME_HPP
#define LABURNUMREACH_CORE_OUTCOME_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace laburnumreach::core
{

/// Whether a request may have run on an upstream.
enum class outcome : std::uint8_t
{
    not_run,      ///< Proven: no upstream in the whole call chain saw the request.
    may_have_run, ///< An upstream may have seen the request.
    ran,          ///< An upstream ran the request.
};

/// Returns the name used in headers and JSON bodies, for example "not_run".
std::string_view to_string(outcome value) noexcept;

/// Parses a name produced by to_string.
/// @returns no value for an unknown name
std::optional<outcome> parse_outcome(std::string_view name) noexcept;

} // namespace laburnumreach::core

#endif
