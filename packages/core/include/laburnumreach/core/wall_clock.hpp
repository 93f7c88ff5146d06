#ifndef LABURNUMREACH_CORE_WALL_CLOCK_HPP
#define LABURNUMREACH_CORE_WALL_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace laburnumreach::core
{

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump, so it is only used for
/// records and logs.
inline std::uint64_t wall_clock_ms()
{
    using namespace std::chrono;
    const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch());
    return static_cast<std::uint64_t>(now.count());
}

} // namespace laburnumreach::core

#endif
