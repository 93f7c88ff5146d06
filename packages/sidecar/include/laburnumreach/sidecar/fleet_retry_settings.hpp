#ifndef LABURNUMREACH_SIDECAR_FLEET_RETRY_SETTINGS_HPP
#define LABURNUMREACH_SIDECAR_FLEET_RETRY_SETTINGS_HPP

#include "laburnumreach/config/sidecar_settings.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/retry_budget.hpp"

namespace laburnumreach::sidecar
{

/// Settings of the retries of one daemon, derived from those of the whole fleet.
struct fleet_retry_settings
{
    /// Retries for each request of a route whose runs make no nested calls.
    double leaf_route_ratio = 0;
    /// Retries for each request of a route whose runs do, since a retry also repeats the nested calls at
    /// downstream services.
    double parent_route_ratio = 0;
    /// Retries that the whole fleet may send within the window in addition to the ratio.
    double fleet_slack = 0;
    core::duration window = std::chrono::seconds{10};
};

/// Derives the retry settings of a daemon.
inline fleet_retry_settings make_retry_settings(const config::sidecar_settings& settings)
{
    // Nested calls of a retried run count as retries too, so the shares of a call chain add up.
    constexpr double leaf_route_share = 0.75;
    constexpr double parent_route_share = 0.05;
    return {.leaf_route_ratio = leaf_route_share * settings.retry_ratio,
            .parent_route_ratio = parent_route_share * settings.retry_ratio,
            .fleet_slack = settings.retry_slack,
            .window = settings.retry_window};
}

/// Derives the retry budget of one daemon for one service.
/// @param makes_nested_calls whether runs of the route make nested calls
/// @param daemon_count number of daemons that share the slack; zero while it is unknown, then there is none
inline retry_budget_options make_retry_budget(const fleet_retry_settings& retries, bool makes_nested_calls,
                                              std::size_t daemon_count)
{
    // The rest is reserved for retries caused by retries of services earlier in the call chain.
    constexpr double used_slack_share = 0.5;
    return {.ratio = makes_nested_calls ? retries.parent_route_ratio : retries.leaf_route_ratio,
            .slack = daemon_count == 0
                         ? 0.0
                         : used_slack_share * retries.fleet_slack / static_cast<double>(daemon_count),
            .window = retries.window};
}

} // namespace laburnumreach::sidecar

#endif
