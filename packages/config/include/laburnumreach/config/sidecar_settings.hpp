#ifndef LABURNUMREACH_CONFIG_SIDECAR_SETTINGS_HPP
#define LABURNUMREACH_CONFIG_SIDECAR_SETTINGS_HPP

#include "laburnumreach/config/endpoint.hpp"
#include "laburnumreach/config/parse_error.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::config
{

/// Settings of one sidecar daemon.
struct sidecar_settings
{
    std::string daemon_id;
    std::string zone;

    std::string service; ///< Service of the upstream on this VM.
    endpoint upstream;   ///< Address of that upstream.

    endpoint outbound; ///< Callers and the upstream on this VM send their requests here.
    endpoint ready;    ///< Readiness checks.
    endpoint control;  ///< Announcements of the upstream.
    endpoint peers;    ///< Other daemons.
    /// IP number under which other daemons reach this one; differs from the listener's behind a translation.
    std::string announced_address;
    std::uint16_t metrics_port = 0;

    endpoint store; ///< The platform's object store.

    /// Whether the whole fleet starts for the first time.
    bool first_start = false;

    /// Time after SIGTERM until the process is killed.
    std::chrono::milliseconds stop_grace{6000};
    /// Time after which a leaving upstream gets no new work.
    std::chrono::milliseconds drain_limit{2000};
    /// Repeated arrivals allowed for each request of a service.
    double retry_ratio = 0.2;
    /// Repeated arrivals allowed beside the ratio, in one window over all daemons.
    double retry_slack = 0;
    std::chrono::milliseconds retry_window{10000};
};

/// Reads and checks the settings.
/// @returns the settings, or every fault found
parse_result<sidecar_settings> parse_sidecar_settings(std::string_view text);

} // namespace laburnumreach::config

#endif
