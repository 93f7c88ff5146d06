#include "fleet_config_checker.hpp"

#include "laburnumreach/config/fleet_config_toml.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>

namespace laburnumreach::config
{

namespace
{

std::string quoted(std::string_view name)
{
    return "'" + std::string{name} + "'";
}

/// Reports malformed and repeated elements of an array of names.
void check_name_list(toml_reader& reader, std::string_view name, const std::vector<std::string>& values)
{
    std::set<std::string_view> seen;
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        if (!reader.has_string_at(name, index))
        {
            continue;
        }
        if (!is_valid_name(values[index], fleet_limits::name_bytes))
        {
            reader.add_error_at(name, index,
                                "a name in " + quoted(name) + " must have 1 to " +
                                    std::to_string(fleet_limits::name_bytes) +
                                    " characters, only letters, digits, '.', '_' and '-'");
        }
        else if (!seen.insert(values[index]).second)
        {
            reader.add_error_at(name, index, quoted(values[index]) + " is repeated in " + quoted(name));
        }
    }
}

} // namespace

void fleet_config_checker::check()
{
    this->check_zones();
    check_name_list(this->readers.root, "drained_instances", this->config.drained_instances);
    this->check_services();
    this->check_tenants();
    this->check_routes();
}

void fleet_config_checker::check_zones()
{
    if (this->config.zones.empty())
    {
        this->readers.root.add_error("zones", "'zones' must name at least one zone");
    }
    check_name_list(this->readers.root, "zones", this->config.zones);
}

void fleet_config_checker::check_references(toml_reader& reader, std::string_view name,
                                            const std::vector<std::string>& values,
                                            const name_index& known_names, std::string_view kind)
{
    check_name_list(reader, name, values);
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        if (is_valid_name(values[index], fleet_limits::name_bytes) && !known_names.contains(values[index]))
        {
            reader.add_error_at(name, index, "unknown " + std::string{kind} + " " + quoted(values[index]));
        }
    }
}

void fleet_config_checker::check_services()
{
    for (std::size_t index = 0; index < this->config.services.size(); ++index)
    {
        const std::string& name = this->config.services[index].name;
        if (!name.empty() && !this->services.emplace(name, index).second)
        {
            this->readers.services[index].add_error("name", "the service " + quoted(name) + " is repeated");
        }
    }
    for (std::size_t index = 0; index < this->config.services.size(); ++index)
    {
        this->check_references(this->readers.services[index], "depends_on",
                               this->config.services[index].depends_on, this->services, "service");
    }
    this->check_cycles();
}

void fleet_config_checker::check_cycles()
{
    enum class visit_state : std::uint8_t
    {
        unvisited,
        in_progress,
        finished,
    };
    struct stack_frame
    {
        std::size_t service;
        std::size_t next; ///< Index in depends_on of the next service to visit.
    };
    std::vector<visit_state> states(this->config.services.size(), visit_state::unvisited);
    for (std::size_t start = 0; start < states.size(); ++start)
    {
        // Depth-first search with an explicit stack: a dependency chain may include every service, too deep
        // for recursion.
        std::vector<stack_frame> stack;
        const auto enter = [&](std::size_t service)
        {
            states[service] = visit_state::in_progress;
            stack.push_back({.service = service, .next = 0});
        };
        if (states[start] == visit_state::unvisited)
        {
            enter(start);
        }
        while (!stack.empty())
        {
            const std::size_t service = stack.back().service;
            const auto& names = this->config.services[service].depends_on;
            if (stack.back().next == names.size())
            {
                states[service] = visit_state::finished;
                stack.pop_back();
                continue;
            }
            const std::size_t position = stack.back().next++;
            const auto target = this->services.find(names[position]);
            if (target == this->services.end() || states[target->second] == visit_state::finished)
            {
                continue;
            }
            if (states[target->second] == visit_state::unvisited)
            {
                enter(target->second);
                continue;
            }
            std::string chain;
            auto first =
                std::find_if(stack.begin(), stack.end(),
                             [&](const stack_frame& entry) { return entry.service == target->second; });
            for (; first != stack.end(); ++first)
            {
                chain += this->config.services[first->service].name + " -> ";
            }
            this->readers.services[service].add_error_at("depends_on", position,
                                                         "dependency cycle: " + chain + names[position]);
        }
    }
}

void fleet_config_checker::check_routes()
{
    std::set<std::pair<std::string_view, std::string_view>> names;
    // Views of strings of the configuration. std::tuple with deduced types would copy the strings, and views
    // of those copies would dangle.
    using match_key = std::tuple<std::string_view, std::string_view, std::string_view>;
    std::map<match_key, std::string_view> routes_by_match;
    for (std::size_t index = 0; index < this->config.routes.size(); ++index)
    {
        const route_config& route = this->config.routes[index];
        toml_reader& reader = this->readers.routes[index];
        if (!route.name.empty() && !names.emplace(route.service, route.name).second)
        {
            reader.add_error("name", "the route " + quoted(route.name) + " of service " +
                                         quoted(route.service) + " is repeated");
        }
        const auto [existing, added] =
            routes_by_match.emplace(match_key{route.service, route.method, route.path}, route.name);
        if (!added && !route.path.empty() && !route.method.empty())
        {
            reader.add_error("path", "the route has the same service, method and path as route " +
                                         quoted(existing->second));
        }
        this->check_route_rules(index);
    }
}

void fleet_config_checker::check_route_rules(std::size_t index)
{
    const route_config& route = this->config.routes[index];
    toml_reader& reader = this->readers.routes[index];
    this->check_references(reader, "tenants", route.tenants, this->tenants, "tenant");
    if (route.open && !route.tenants.empty())
    {
        reader.add_error("tenants", "an open route must not list tenants");
    }
    this->check_references(reader, "calls", route.calls, this->services, "service");
    if (route.service.empty())
    {
        return;
    }
    const auto service = this->services.find(route.service);
    if (service == this->services.end())
    {
        reader.add_error("service", "unknown service " + quoted(route.service));
        return;
    }
    const auto& depends_on = this->config.services[service->second].depends_on;
    for (std::size_t call = 0; call < route.calls.size(); ++call)
    {
        const std::string& name = route.calls[call];
        if (this->services.contains(name) &&
            std::find(depends_on.begin(), depends_on.end(), name) == depends_on.end())
        {
            reader.add_error_at("calls", call,
                                quoted(name) + " is not in depends_on of service " + quoted(route.service));
        }
    }
}

void fleet_config_checker::check_tenants()
{
    struct key_location
    {
        std::string_view tenant;
        std::string_view id;
    };
    std::unordered_map<key_digest, key_location, key_digest_hash> digests;
    for (std::size_t index = 0; index < this->config.tenants.size(); ++index)
    {
        const tenant_config& tenant = this->config.tenants[index];
        if (!tenant.name.empty() && !this->tenants.emplace(tenant.name, index).second)
        {
            this->readers.tenants[index].add_error("name",
                                                   "the tenant " + quoted(tenant.name) + " is repeated");
        }
        std::set<std::string_view> ids;
        for (std::size_t key_index = 0; key_index < tenant.keys.size(); ++key_index)
        {
            const tenant_key& key = tenant.keys[key_index];
            toml_reader& reader = this->readers.keys[index][key_index];
            if (!key.id.empty() && !ids.insert(key.id).second)
            {
                reader.add_error("id", "the key id " + quoted(key.id) + " of tenant " + quoted(tenant.name) +
                                           " is repeated");
            }
            // An all-zero digest stands for an invalid one, which was reported when it was read.
            if (key.digest == key_digest{})
            {
                continue;
            }
            const auto [other, added] =
                digests.emplace(key.digest, key_location{.tenant = tenant.name, .id = key.id});
            if (!added)
            {
                reader.add_error("sha256", "the digest is already used by key " + quoted(other->second.id) +
                                               " of tenant " + quoted(other->second.tenant));
            }
        }
    }
}

} // namespace laburnumreach::config
