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

/// One destination of a route with its share of the route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1.0;
};

/// A route of the operators' configuration.
struct route
{
    std::string name;
    std::string path_prefix;  ///< Begins and ends with a slash.
    bool idempotent = false;  ///< Whether a request may run more than once.
    bool large_body = false;  ///< Uploads: placed by the bytes that cross availability zones.
    bool open = false;        ///< Whether requests need no key.
    int priority = 0;         ///< 0 is the most important.
    int max_instances = 1;    ///< Instances to which one attempt of a caller may be sent.
    core::duration timeout{}; ///< Longest time that a request may be kept waiting.
    core::duration latency_objective{};
    std::vector<weighted_service> destinations;
};

/// A customer with its limits over the whole fleet.
struct customer
{
    std::string name;
    std::optional<int> priority; ///< Takes precedence over the priority of the route.
    double rate_per_second = 0;  ///< Zero means no limit.
    double burst = 0;            ///< Requests.
};

/// Bounds on what a caller may send.
struct caller_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 64ULL * 1024 * 1024;
    core::duration header_timeout = std::chrono::seconds{3};
    core::duration idle_timeout = std::chrono::seconds{15};
};

/// One version of the operators' configuration, decoded and indexed. Immutable once built.
class routing_config
{
public:
    /// A host with its routes.
    struct host_routes
    {
        std::string host;
        std::vector<route> routes;
    };

    /// A customer with its keys.
    struct customer_keys
    {
        customer owner;
        std::vector<std::string> keys;
    };

    /// Parts of a configuration.
    struct contents
    {
        std::uint64_t version = 0;
        std::vector<host_routes> hosts;
        std::vector<customer_keys> customers;
        std::unordered_map<std::string, std::string> health_paths; ///< By service.
        caller_limits limits;
    };

    explicit routing_config(contents parts);

    /// Finds the route with the longest prefix of the path.
    /// @param host value of the Host field, with or without a port
    /// @param target path and query
    /// @returns no value when no route matches
    const route* find_route(std::string_view host, std::string_view target) const;

    /// Finds the customer that holds a key.
    /// @returns no value for an unknown key
    const customer* find_customer(std::string_view key) const;

    /// Calls visit with each route.
    template <typename Visitor>
    void for_each_route(Visitor visit) const
    {
        for (const auto& [host, routes] : this->by_host)
        {
            for (const route& entry : routes)
            {
                visit(entry);
            }
        }
    }

    /// Returns whether requests need a key unless their route is open.
    bool has_customers() const noexcept { return !this->owners.empty(); }

    /// Returns the path of a service's health check; empty when none is known.
    std::string health_path(const std::string& service) const;

    /// Returns the largest priority number of the routes that need a key.
    int lowest_route_priority() const noexcept { return this->largest_priority; }

    const std::vector<customer>& customers() const noexcept { return this->owners; }
    std::uint64_t version() const noexcept { return this->number; }
    const caller_limits& limits() const noexcept { return this->bounds; }

private:
    std::uint64_t number;
    std::unordered_map<std::string, std::vector<route>> by_host; ///< Longest prefix first.
    std::vector<customer> owners;
    int largest_priority = 0;
    std::unordered_map<std::string, std::size_t> by_key;
    std::unordered_map<std::string, std::string> health_paths;
    caller_limits bounds;
};

} // namespace laburnumreach::sidecar

#endif
