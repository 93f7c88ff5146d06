#ifndef LABURNUMREACH_SIDECAR_RETRY_BUDGET_HPP
#define LABURNUMREACH_SIDECAR_RETRY_BUDGET_HPP

#include "laburnumreach/core/time.hpp"

#include <array>
#include <cstdint>

namespace laburnumreach::sidecar
{

/// Settings of a retry_budget.
struct retry_budget_options
{
    /// Repeats allowed for each request within the window.
    double ratio = 0.0;
    /// Repeats allowed beside the ratio within the window.
    double slack = 0.0;
    core::duration window = std::chrono::seconds{10};
};

/// Bounds how often this daemon sends requests for one service to a second instance. Deterministic.
///
/// The limit of the fleet holds for the sum over all daemons and for repeats that come of repeats further
/// up the chain, so each daemon uses a part of the fleet's ratio and its share of the slack. That holds in
/// any partition, since nothing is exchanged.
class retry_budget
{
public:
    /// Counts a request for the service.
    void record_request(core::time_point now);

    /// Takes one repeat.
    /// @returns false when the budget of the window is used up
    bool try_take(const retry_budget_options& options, core::time_point now);

private:
    /// The window is counted in parts that expire one after the other.
    static constexpr std::size_t parts = 10;

    struct part_counts
    {
        std::int64_t number = -1; ///< Index of the part since the clock's zero.
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    part_counts& current(core::time_point now, core::duration window);

    std::array<part_counts, parts> counts;
    core::duration last_window = std::chrono::seconds{10};
};

} // namespace laburnumreach::sidecar

#endif
