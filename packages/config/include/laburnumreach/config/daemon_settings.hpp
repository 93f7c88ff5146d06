#ifndef LABURNUMREACH_CONFIG_DAEMON_SETTINGS_HPP
#define LABURNUMREACH_CONFIG_DAEMON_SETTINGS_HPP

#include "laburnumreach/config/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::config
{

/// Severity of a log line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Section [listen] of the daemon settings: the address of all listeners and the port of each one.
struct listen_settings
{
    std::string address = "127.0.0.1"; ///< IP address.
    std::uint16_t callers = 0;         ///< Requests from callers.
    std::uint16_t peers = 0;           ///< Calls forwarded by other daemons.
    std::uint16_t control = 0;         ///< Control messages from other daemons.
    std::uint16_t local = 0;           ///< Announcements and calls of the upstream on this VM.
    std::uint16_t admin = 0;           ///< Status and metrics for operators.

    friend bool operator==(const listen_settings&, const listen_settings&) = default;
};

/// Section [platform] of the daemon settings.
struct platform_settings
{
    endpoint address;
    std::chrono::milliseconds request_timeout{1000};

    friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

/// Section [limits] of the daemon settings.
struct limit_settings
{
    std::uint32_t workers = 320;          ///< Threads of each request listener (all but control and admin).
    std::uint32_t max_connections = 2000; ///< Open connections of each request listener.
    std::uint64_t max_body_bytes = 16777216;    ///< Of one request.
    std::uint64_t body_budget_bytes = 67108864; ///< Of all requests held in memory.
    std::uint32_t max_depth = 10;               ///< Maximum nesting depth of calls in a call chain.
    /// Keys are accepted for this long without contact to the platform.
    std::chrono::seconds key_staleness_limit{86400};
    /// Time without contact to both the platform and other daemons after which the daemon counts as isolated.
    std::chrono::seconds isolation_limit{60};

    friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

/// Settings of one daemon.
struct daemon_settings
{
    std::string id; ///< Unique in the fleet.
    std::string zone;
    std::string region;
    std::string fleet_secret; ///< At least 16 bytes.
    std::chrono::milliseconds shutdown_timeout{10000};
    listen_settings listen;
    platform_settings platform;
    std::vector<endpoint> seeds; ///< Control addresses of other daemons, contacted first to join the fleet.
    limit_settings limits;
    log_level level = log_level::info; ///< Log lines below this severity are not written.

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

} // namespace laburnumreach::config

#endif
