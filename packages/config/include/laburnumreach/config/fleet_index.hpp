#ifndef LABURNUMREACH_CONFIG_FLEET_INDEX_HPP
#define LABURNUMREACH_CONFIG_FLEET_INDEX_HPP

#include "laburnumreach/config/fleet_config.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace laburnumreach::config
{

/// Position of a service in fleet_config::services.
using service_index = std::uint32_t;
/// Position of a route in fleet_config::routes.
using route_index = std::uint32_t;
/// Position of a tenant in fleet_config::tenants.
using tenant_index = std::uint32_t;

/// Immutable lookup tables of one fleet configuration. Safe to share between threads; lookups do not allocate
/// or lock.
///
/// Indices are dense and valid for this object only: another revision may number its entries differently.
class fleet_index
{
public:
    /// A key found by its digest.
    struct key_match
    {
        tenant_index tenant = 0;
        std::uint32_t key = 0; ///< Position in tenant_config::keys.
    };

    /// Builds the lookup tables.
    /// @param config a configuration accepted by parse_fleet_config
    /// @param revision revision of the configuration document; 0 when it is not from the platform
    explicit fleet_index(fleet_config config, std::uint64_t revision = 0);

    fleet_index(const fleet_index&) = delete;
    fleet_index& operator=(const fleet_index&) = delete;

    const fleet_config& config() const noexcept { return this->source; }
    std::uint64_t revision() const noexcept { return this->source_revision; }

    std::optional<service_index> find_service(std::string_view name) const noexcept;
    std::optional<tenant_index> find_tenant(std::string_view name) const noexcept;

    /// Returns the tenant and key of a digest, or no value for an unknown key.
    std::optional<key_match> find_key(const key_digest& digest) const noexcept;

    /// Returns the route with the longest matching path prefix among those that accept the method. Of two
    /// routes with the same path, the one that names the method takes precedence over "*".
    /// @param path the path after the service name, without query; starts with '/'
    std::optional<route_index> find_route(service_index service, std::string_view method,
                                          std::string_view path) const noexcept;

    /// Returns the route of a service with the given name. Scans all routes; not for hot paths.
    std::optional<route_index> find_route_by_name(service_index service,
                                                  std::string_view name) const noexcept;

    /// Returns whether a tenant may use a route.
    bool tenant_allowed(route_index route, tenant_index tenant) const noexcept;

    /// Returns whether the configuration drains an instance.
    bool is_drained(std::string_view instance) const noexcept;

    const service_config& service(service_index index) const { return this->source.services[index]; }
    const route_config& route(route_index index) const { return this->source.routes[index]; }
    const tenant_config& tenant(tenant_index index) const { return this->source.tenants[index]; }

    /// Returns the service of a route.
    service_index service_of(route_index route) const { return this->compiled[route].service; }

    /// Returns the services that a route calls.
    std::span<const service_index> calls_of(route_index route) const { return this->compiled[route].calls; }

private:
    using name_map = std::unordered_map<std::string_view, std::uint32_t>;

    struct compiled_route
    {
        service_index service = 0;
        std::vector<service_index> calls;
        std::vector<tenant_index> tenants; ///< Sorted.
    };

    /// A path prefix of a service, a node in its prefix tree. The nodes of a service are sorted by path.
    struct path_node
    {
        std::string_view path;
        std::int32_t parent = -1;        ///< Node of the longest proper prefix, or -1.
        std::vector<route_index> routes; ///< Routes that name their method precede a "*" route.
    };

    void compile_routes();
    static void link_parents(std::vector<path_node>& nodes);

    fleet_config source; ///< Never changed: the maps below refer to its strings.
    std::uint64_t source_revision;
    name_map services;
    name_map tenants;
    std::unordered_map<key_digest, key_match, key_digest_hash> keys;
    std::unordered_set<std::string_view> drained;
    std::vector<compiled_route> compiled;
    std::vector<std::vector<path_node>> paths; ///< By service.
};

} // namespace laburnumreach::config

#endif
