#ifndef LABURNUMREACH_CORE_TIME_HPP
#define LABURNUMREACH_CORE_TIME_HPP

#include <chrono>
#include <concepts>
#include <string>

namespace laburnumreach::core
{

/// Elapsed time in nanoseconds.
using duration = std::chrono::nanoseconds;

/// Returns a duration in seconds, including the fraction.
inline double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Returns a duration as a number of whole milliseconds, for the log.
inline std::string milliseconds_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

/// Monotonic clock that also advances while the VM is suspended, so that leases expire during a pause.
struct boot_clock
{
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Returns the time since boot (CLOCK_BOOTTIME).
    static time_point now() noexcept;
};

/// A point on the monotonic clock of this VM. Never sent to another VM: messages carry durations.
using time_point = boot_clock::time_point;

/// A source of the current time, replaced in tests.
template <typename Clock>
concept clock_source = requires(Clock clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

} // namespace laburnumreach::core

#endif
