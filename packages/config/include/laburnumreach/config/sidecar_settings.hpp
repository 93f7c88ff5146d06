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

    std::string service; ///< Service that the upstream on this VM provides.
    endpoint upstream;   ///< Address of that upstream.

    endpoint outbound; ///< Listener for requests from callers and from the upstream on this VM.
    endpoint ready;    ///< Listener for readiness checks.
    endpoint control;  ///< Listener for announcements of the upstream.
    endpoint peers;    ///< Listener for connections from other daemons.
    /// IP address at which other daemons reach this one; differs from that of the listener behind NAT.
    std::string announced_address;
    std::uint16_t metrics_port = 0; ///< Listens on the address of `outbound`.

    endpoint store; ///< Object store of the platform.

    /// Whether the whole fleet is starting for the first time.
    bool first_start = false;

    /// Time between SIGTERM and the forced end of the process.
    std::chrono::milliseconds stop_grace{6000};
    /// Time after which an upstream that shuts down gets no new requests.
    std::chrono::milliseconds drain_limit{2000};
    /// Retry budget: retries allowed for each request of a service.
    double retry_ratio = 0.2;
    /// Retries allowed in addition to the ratio, in one window over all daemons.
    double retry_slack = 0;
    /// Window over which the retry budget is counted.
    std::chrono::milliseconds retry_window{10000};
    /// Bytes of requests and responses that the process may hold. Some are held twice while they are sent on,
    /// so that the whole process may take about twice as much.
    std::size_t body_memory = 48 * 1024 * 1024;
    /// File descriptors that the process may open; zero for what the system allows.
    std::size_t max_descriptors = 0;
};

/// What the VM grants to the process, where the settings file does not say it.
struct granted_resources
{
    std::int64_t memory_mb = 0;       ///< Zero if unknown.
    std::int64_t max_descriptors = 0; ///< Zero for what the system allows.
};

/// Parses and validates the settings of a sidecar.
/// @param granted values of `memory_mb` and `max_descriptors` if the text has none
/// @returns the settings, or every error found
parse_result<sidecar_settings> parse_sidecar_settings(std::string_view text,
                                                      const granted_resources& granted = {});

} // namespace laburnumreach::config

#endif
