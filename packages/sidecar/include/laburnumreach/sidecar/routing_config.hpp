#ifndef LABURNUMREACH_SIDECAR_ROUTING_CONFIG_HPP
#define LABURNUMREACH_SIDECAR_ROUTING_CONFIG_HPP

#include "laburnumreach/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// A destination of a route, weighted by its share of the route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1.0;
};

/// A route in the operators' configuration.
struct route
{
    std::string name;
    std::string path_prefix; ///< Begins and ends with a slash.
    bool idempotent = false; ///< Whether a request may run more than once.
    bool large_body = false; ///< Uploads: kept in their availability zone to limit the traffic between zones.
    bool open = false;       ///< Whether requests need no API key.
    int priority = 0;        ///< 0 is the most important.
    int max_instances = 1;   ///< Maximum number of instances to which one attempt of a caller may be sent.
    core::duration timeout{}; ///< Maximum time that a request may be kept waiting.
    core::duration latency_objective{};
    std::vector<weighted_service> destinations;
};

/// A customer with its fleet-wide limits.
struct customer
{
    std::string name;
    std::optional<int> priority; ///< Takes precedence over the priority of the route.
    double rate_per_second = 0;  ///< Zero means unlimited.
    double burst = 0;            ///< In requests.
};

/// Limits on the requests and connections of callers.
struct caller_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
    core::duration header_timeout = std::chrono::seconds{3};
    core::duration idle_timeout = std::chrono::seconds{15};
};

/// One version of the operators' configuration, decoded and indexed. Immutable.
class routing_config
{
public:
    /// A host with its routes.
    struct host_routes
    {
        std::string host;
        std::vector<route> routes;
    };

    /// A customer with its API keys.
    struct customer_keys
    {
        customer owner;
        std::vector<std::string> keys;
    };

    /// Decoded contents of a configuration.
    struct contents
    {
        std::uint64_t version = 0;
        std::vector<host_routes> hosts;
        std::vector<customer_keys> customers;
        std::unordered_map<std::string, std::string> health_paths; ///< By service.
        caller_limits limits;
        std::vector<std::string> warnings; ///< What could not be decoded and how it is treated instead.
    };

    explicit routing_config(contents parts);

    /// Finds the route with the longest matching path prefix.
    /// @param host value of the Host header field, with or without a port
    /// @param target path and query
    /// @returns null if no route matches
    const route* find_route(std::string_view host, std::string_view target) const;

    /// Finds the customer that an API key belongs to.
    /// @returns null if the key is unknown
    const customer* find_customer(std::string_view key) const;

    /// Calls the visitor with each route.
    template <typename Visitor>
    void for_each_route(Visitor visit) const
    {
        for (const auto& [host, routes] : this->routes_by_host)
        {
            for (const route& entry : routes)
            {
                visit(entry);
            }
        }
    }

    /// Returns whether there are customers; then requests need an API key unless their route is open.
    bool has_customers() const noexcept { return !this->customer_list.empty(); }

    /// Returns the path of a service's health check; empty if none is configured.
    std::string health_path(const std::string& service) const;

    /// Returns the lowest priority, that is the largest number, of the routes that need a key.
    int lowest_route_priority() const noexcept { return this->lowest_keyed_priority; }

    const std::vector<customer>& customers() const noexcept { return this->customer_list; }
    std::uint64_t version() const noexcept { return this->config_version; }
    const caller_limits& limits() const noexcept { return this->limits_of_callers; }
    const std::vector<std::string>& warnings() const noexcept { return this->decoder_warnings; }

private:
    std::uint64_t config_version;
    std::unordered_map<std::string, std::vector<route>> routes_by_host; ///< Longest prefix first.
    std::vector<customer> customer_list;
    int lowest_keyed_priority = 0;
    std::unordered_map<std::string, std::size_t> customer_by_key;
    std::unordered_map<std::string, std::string> health_paths;
    caller_limits limits_of_callers;
    std::vector<std::string> decoder_warnings;
};

} // namespace laburnumreach::sidecar

#endif
