#ifndef LABURNUMREACH_DAEMON_DAEMON_METRICS_HPP
#define LABURNUMREACH_DAEMON_DAEMON_METRICS_HPP

#include "laburnumreach/core/latency_summary.hpp"
#include "laburnumreach/core/priority_class.hpp"
#include "laburnumreach/core/reason_counters.hpp"

#include <array>
#include <atomic>
#include <cstdint>

namespace laburnumreach::daemon
{

/// Counters of the request path. Thread safe.
struct daemon_metrics
{
    core::reason_counters
        refusals; ///< Requests that ended without a whole answer, by reason, as the entry saw them.
    core::reason_counters exit_refusals;   ///< The same for calls of other daemons.
    core::reason_counters nested_refusals; ///< The same for calls of the upstream beside this daemon.
    core::reason_counters retries;         ///< Further attempts, by the reason of the failure before.
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> exit_calls{0};
    std::atomic<std::uint64_t> nested_calls{0};
    std::array<std::atomic<std::uint64_t>, core::priority_class_count> answers{};
    std::array<core::latency_summary, core::priority_class_count> latency;
    std::atomic<std::uint64_t> silent_connections{0};
    std::atomic<std::uint64_t> withdrawn_calls{0};
    std::atomic<std::uint64_t> control_messages_refused{0};
};

} // namespace laburnumreach::daemon

#endif
