#ifndef LABURNUMREACH_OVERLOAD_TEST_TIME_HPP
#define LABURNUMREACH_OVERLOAD_TEST_TIME_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>

namespace laburnumreach::overload
{

using std::chrono::milliseconds;

/// Returns a point of virtual time.
inline core::time_point at(std::int64_t ms)
{
    return core::time_point{std::chrono::seconds{1} + milliseconds{ms}};
}

} // namespace laburnumreach::overload

#endif
