#include "laburnumreach/core/time.hpp"

#include <ctime>

namespace laburnumreach::core
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point{std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec}};
}

} // namespace laburnumreach::core
