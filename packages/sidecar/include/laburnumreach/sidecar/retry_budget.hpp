#ifndef LABURNUMREACH_SIDECAR_RETRY_BUDGET_HPP
#define LABURNUMREACH_SIDECAR_RETRY_BUDGET_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <deque>

namespace laburnumreach::sidecar
{

/// Settings of a retry_budget.
struct retry_budget_options
{
    /// Retries allowed per request within the window.
    double ratio = 0.0;
    /// Retries allowed within the window in addition to the ratio.
    double slack = 0.0;
    core::duration window = std::chrono::seconds{10};
};

/// Limits how often this daemon retries requests for one service on another instance. Deterministic.
///
/// The limit of the fleet applies to the sum over all daemons and includes retries caused by retries further
/// up the call chain, so each daemon uses a fraction of the fleet's ratio and its share of the slack. The
/// limit holds in any network partition, since the daemons exchange nothing.
class retry_budget
{
public:
    /// Counts a request for the service.
    void record_request(core::time_point now);

    /// Takes one retry from the budget.
    /// @returns false when the budget of the window is used up
    bool try_take(const retry_budget_options& options, core::time_point now);

private:
    /// Number of time buckets in the sliding window; they expire one at a time.
    static constexpr std::int64_t bucket_count = 10;

    /// Requests and retries of one part of the window.
    struct bucket
    {
        core::time_point start{};
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    bucket& current_bucket(core::time_point now);

    std::deque<bucket> buckets; ///< Oldest first. Their times stay right when the window changes.
    core::duration window = std::chrono::seconds{10};
};

} // namespace laburnumreach::sidecar

#endif
