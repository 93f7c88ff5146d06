#ifndef LABURNUMREACH_SIDECAR_INSTANCE_DEPARTURE_HPP
#define LABURNUMREACH_SIDECAR_INSTANCE_DEPARTURE_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace laburnumreach::sidecar
{

/// A departure that an instance announced to its daemon.
struct instance_departure
{
    std::string instance_id;
    /// Unix time in milliseconds: incarnations under this id that started until then are leaving. A draining
    /// heartbeat tells the start of its incarnation. A deregistration does not, so it concerns all that
    /// started before it.
    std::uint64_t last_start_ms = 0;
};

/// Largest number of departures that are kept of one VM, the latest ones: several instances in a row, or
/// requests of other programs.
inline constexpr std::size_t max_departures = 8;

/// Orders departures by their age.
inline bool is_earlier(const instance_departure& left, const instance_departure& right)
{
    return left.last_start_ms < right.last_start_ms;
}

/// Returns whether a departure names an instance. It may come from the store or from another daemon.
inline bool is_valid(const instance_departure& departure)
{
    constexpr std::size_t max_id_bytes = 255;
    return !departure.instance_id.empty() && departure.instance_id.size() <= max_id_bytes;
}

} // namespace laburnumreach::sidecar

#endif
