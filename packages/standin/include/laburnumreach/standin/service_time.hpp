#ifndef LABURNUMREACH_STANDIN_SERVICE_TIME_HPP
#define LABURNUMREACH_STANDIN_SERVICE_TIME_HPP

#include "laburnumreach/core/error.hpp"
#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::standin
{

/// A time after the start of the upstream during which it works more slowly.
struct slow_period
{
    core::duration begin{0};
    core::duration end{0};
    double factor = 1.0;
};

/// Service time of the paths that start with a prefix.
struct service_time_rule
{
    std::string path_prefix{};
    bool exponential = false;
    core::duration mean{0};
};

/// Parses "<path prefix>=fixed:<ms>" or "<path prefix>=exponential:<ms>".
core::result<service_time_rule> parse_service_time_rule(std::string_view text);

/// Draws the service times of an upstream. Thread safe.
class service_time
{
public:
    /// @param rules the longest matching prefix applies
    /// @param fallback mean of the fixed time of other paths
    service_time(std::vector<service_time_rule> rules, core::duration fallback,
                 std::vector<slow_period> slow_periods, std::uint64_t seed);

    /// Returns the time that a request takes without waiting.
    /// @param age time since the start of the upstream
    core::duration draw(std::string_view path, core::duration age);

private:
    const std::vector<service_time_rule> rules;
    const core::duration fallback;
    const std::vector<slow_period> slow_periods;
    std::mutex mutex;
    core::random_source random;
};

} // namespace laburnumreach::standin

#endif
