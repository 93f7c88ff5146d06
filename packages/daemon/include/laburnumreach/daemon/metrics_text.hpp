#ifndef LABURNUMREACH_DAEMON_METRICS_TEXT_HPP
#define LABURNUMREACH_DAEMON_METRICS_TEXT_HPP

#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/http/server_counters.hpp"

#include <span>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// A server and its name in metric labels.
struct named_server_counters
{
    std::string_view name;
    const http::server_counters* counters = nullptr;
};

/// Returns all metrics in the Prometheus text format.
std::string metrics_text(const daemon_state& state, std::span<const named_server_counters> servers);

} // namespace laburnumreach::daemon

#endif
