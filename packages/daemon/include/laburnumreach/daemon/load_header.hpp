#ifndef LABURNUMREACH_DAEMON_LOAD_HEADER_HPP
#define LABURNUMREACH_DAEMON_LOAD_HEADER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/overload/load_feedback.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// What an exit daemon reports with each answer on the hop between daemons.
struct hop_report
{
    overload::load_feedback load;
    std::uint32_t unused_attempts = 0;
    /// Part of the latency that the upstream spent waiting for nested calls.
    core::duration nested{0};

    friend bool operator==(const hop_report&, const hop_report&) = default;
};

/// Name of the header that carries a hop_report. It never leaves the fleet.
inline const std::string load_header_name = "Laburnum-Load";

/// Returns the header value.
std::string to_header_value(const hop_report& report);

/// Parses a header value.
/// @returns no value for a malformed one
std::optional<hop_report> parse_hop_report(std::string_view value);

} // namespace laburnumreach::daemon

#endif
