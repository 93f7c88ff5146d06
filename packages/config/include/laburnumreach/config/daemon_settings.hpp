#ifndef LABURNUMREACH_CONFIG_DAEMON_SETTINGS_HPP
#define LABURNUMREACH_CONFIG_DAEMON_SETTINGS_HPP

#include "laburnumreach/config/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::config
{

/// Severity from which log lines are written.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

/// Section [listen] of the daemon settings.
struct listen_settings
{
    std::string address = "127.0.0.1"; ///< IP number.
    std::uint16_t callers = 0;
    std::uint16_t peers = 0;
    std::uint16_t control = 0;
    std::uint16_t local = 0;
    std::uint16_t admin = 0;

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
    std::uint32_t workers = 320;          ///< Traffic threads.
    std::uint32_t max_connections = 2000; ///< Open caller connections.
    std::uint64_t max_body_bytes = 16777216;
    std::uint64_t body_budget_bytes = 67108864;
    std::uint32_t max_depth = 10;
    std::chrono::seconds key_staleness_limit{86400};
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
    std::vector<endpoint> seeds; ///< Control addresses of other daemons.
    limit_settings limits;
    log_level level = log_level::info;

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

} // namespace laburnumreach::config

#endif
