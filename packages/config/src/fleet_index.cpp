#include "laburnumreach/config/fleet_index.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace laburnumreach::config
{

namespace
{

std::optional<std::uint32_t> find(const std::unordered_map<std::string_view, std::uint32_t>& names,
                                  std::string_view name) noexcept
{
    const auto found = names.find(name);
    return found == names.end() ? std::nullopt : std::optional{found->second};
}

} // namespace

fleet_index::fleet_index(fleet_config config, std::uint64_t revision)
    : source(std::move(config)), source_revision(revision)
{
    for (std::uint32_t index = 0; index < this->source.services.size(); ++index)
    {
        this->services.emplace(this->source.services[index].name, index);
    }
    for (std::uint32_t index = 0; index < this->source.tenants.size(); ++index)
    {
        const tenant_config& tenant = this->source.tenants[index];
        this->tenants.emplace(tenant.name, index);
        for (std::uint32_t key = 0; key < tenant.keys.size(); ++key)
        {
            this->keys.emplace(tenant.keys[key].digest, key_match{.tenant = index, .key = key});
        }
    }
    this->drained.insert(this->source.drained_instances.begin(), this->source.drained_instances.end());
    this->compile_routes();
}

void fleet_index::compile_routes()
{
    this->paths.resize(this->source.services.size());
    for (route_index index = 0; index < this->source.routes.size(); ++index)
    {
        const route_config& route = this->source.routes[index];
        const auto service = this->find_service(route.service);
        assert(service);
        compiled_route entry{.service = *service, .calls = {}, .tenants = {}};
        for (const std::string& called : route.calls)
        {
            entry.calls.push_back(*this->find_service(called));
        }
        for (const std::string& tenant : route.tenants)
        {
            entry.tenants.push_back(*this->find_tenant(tenant));
        }
        std::sort(entry.tenants.begin(), entry.tenants.end());
        this->compiled.push_back(std::move(entry));

        auto& nodes = this->paths[*service];
        const auto position =
            std::lower_bound(nodes.begin(), nodes.end(), std::string_view{route.path},
                             [](const path_node& node, std::string_view path) { return node.path < path; });
        const auto node =
            position != nodes.end() && position->path == route.path
                ? position
                : nodes.insert(position, path_node{.path = route.path, .parent = -1, .routes = {}});
        node->routes.insert(route.method == "*" ? node->routes.end() : node->routes.begin(), index);
    }
    for (auto& nodes : this->paths)
    {
        link_parents(nodes);
    }
}

void fleet_index::link_parents(std::vector<path_node>& nodes)
{
    for (std::size_t index = 1; index < nodes.size(); ++index)
    {
        // Every prefix of a path sorts before it, and all nodes in between share that prefix. Thus the
        // longest proper prefix is the preceding node or one of its ancestors.
        auto candidate = static_cast<std::int32_t>(index) - 1;
        while (candidate >= 0 && !nodes[index].path.starts_with(nodes[candidate].path))
        {
            candidate = nodes[candidate].parent;
        }
        nodes[index].parent = candidate;
    }
}

std::optional<service_index> fleet_index::find_service(std::string_view name) const noexcept
{
    return find(this->services, name);
}

std::optional<tenant_index> fleet_index::find_tenant(std::string_view name) const noexcept
{
    return find(this->tenants, name);
}

std::optional<fleet_index::key_match> fleet_index::find_key(const key_digest& digest) const noexcept
{
    const auto found = this->keys.find(digest);
    return found == this->keys.end() ? std::nullopt : std::optional{found->second};
}

std::optional<route_index> fleet_index::find_route(service_index service, std::string_view method,
                                                   std::string_view path) const noexcept
{
    const auto& nodes = this->paths[service];
    const auto after = std::upper_bound(nodes.begin(), nodes.end(), path,
                                        [](std::string_view requested_path, const path_node& node)
                                        { return requested_path < node.path; });
    auto candidate = static_cast<std::int32_t>(after - nodes.begin()) - 1;
    while (candidate >= 0)
    {
        const path_node& node = nodes[candidate];
        if (path.starts_with(node.path))
        {
            for (const route_index route : node.routes)
            {
                const std::string& accepted_method = this->source.routes[route].method;
                if (accepted_method == method || accepted_method == "*")
                {
                    return route;
                }
            }
        }
        candidate = node.parent;
    }
    return std::nullopt;
}

std::optional<route_index> fleet_index::find_route_by_name(service_index service,
                                                           std::string_view name) const noexcept
{
    for (route_index index = 0; index < this->source.routes.size(); ++index)
    {
        if (this->compiled[index].service == service && this->source.routes[index].name == name)
        {
            return index;
        }
    }
    return std::nullopt;
}

bool fleet_index::tenant_allowed(route_index route, tenant_index tenant) const noexcept
{
    const auto& allowed = this->compiled[route].tenants;
    return this->source.routes[route].open || std::binary_search(allowed.begin(), allowed.end(), tenant);
}

bool fleet_index::is_drained(std::string_view instance) const noexcept
{
    return this->drained.contains(instance);
}

} // namespace laburnumreach::config
