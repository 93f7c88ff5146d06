#ifndef LABURNUMREACH_OVERLOAD_ADMISSION_POSITION_HPP
#define LABURNUMREACH_OVERLOAD_ADMISSION_POSITION_HPP

#include "laburnumreach/core/priority_class.hpp"

#include <cstddef>
#include <cstdint>

namespace laburnumreach::overload
{

/// Number of buckets within a class; see bucket_assigner.
inline constexpr std::size_t bucket_count = 128;

/// Number of admission positions: every bucket of every class.
inline constexpr std::size_t position_count = core::priority_class_count * bucket_count;

/// An admission level: the number of positions that are refused, counted from the least important.
/// Zero admits everything; position_count refuses everything.
using admission_level = std::uint16_t;

/// Rank of a request in the order in which calls are refused under overload.
///
/// The entry daemon, which accepts the client request, assigns it once. It is passed on with all nested
/// calls, so that every service on the path ranks the request alike.
struct admission_position
{
    core::priority_class cls = core::priority_class::normal;
    /// From bucket_assigner; 0 is refused last within the class.
    std::uint8_t bucket = 0;

    /// Returns the position in [0, position_count); 0 is refused last.
    constexpr std::size_t index() const noexcept
    {
        return static_cast<std::size_t>(this->cls) * bucket_count + this->bucket;
    }

    /// Returns whether the level admits this position.
    constexpr bool admitted_by(admission_level level) const noexcept
    {
        return this->index() + level < position_count;
    }

    friend bool operator==(const admission_position&, const admission_position&) = default;
};

} // namespace laburnumreach::overload

#endif
