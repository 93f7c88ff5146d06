#ifndef LABURNUMREACH_CONFIG_FLEET_CONFIG_HPP
#define LABURNUMREACH_CONFIG_FLEET_CONFIG_HPP

#include "laburnumreach/config/key_digest.hpp"
#include "laburnumreach/core/priority_class.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::config
{

/// A service and the services that its instances may call.
struct service_config
{
    std::string name;
    std::vector<std::string> depends_on;

    friend bool operator==(const service_config&, const service_config&) = default;
};

/// A route of a service.
struct route_config
{
    std::string service;
    std::string name;         ///< Unique within the service.
    std::string method = "*"; ///< An upper-case HTTP method, or "*" for any.
    std::string path;         ///< Prefix of the path after the service name; starts with '/'.
    core::priority_class priority = core::priority_class::normal;
    bool idempotent = false;
    bool open = false;                ///< Whether every tenant may use the route.
    std::vector<std::string> tenants; ///< Tenants that may use a route that is not open.
    std::chrono::milliseconds timeout{2000};
    std::uint32_t attempts = 3; ///< Maximum number of attempts over the whole call chain.
    std::uint64_t max_body_bytes = 1048576;
    std::vector<std::string> calls; ///< Services that this route calls; a subset of depends_on.

    friend bool operator==(const route_config&, const route_config&) = default;
};

/// An API key of a tenant.
struct tenant_key
{
    std::string id; ///< Unique within the tenant.
    key_digest digest;

    friend bool operator==(const tenant_key&, const tenant_key&) = default;
};

/// A tenant with its rate limit, its share and its keys.
struct tenant_config
{
    std::string name;
    double rate = 0.0;   ///< Requests per second over the whole fleet.
    double burst = 0.0;  ///< Maximum burst, in requests.
    double weight = 1.0; ///< Share relative to other tenants within a priority class.
    std::vector<tenant_key> keys;

    friend bool operator==(const tenant_config&, const tenant_config&) = default;
};

/// The configuration of a fleet, written by operators in TOML.
struct fleet_config
{
    std::vector<std::string> zones;
    std::vector<std::string> drained_instances;
    std::vector<service_config> services;
    std::vector<route_config> routes;
    std::vector<tenant_config> tenants;

    friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

} // namespace laburnumreach::config

#endif
