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

/// Reports the elements of an array of names that are malformed or repeated.
void check_name_list(toml_reader& reader, std::string_view name, const std::vector<std::string>& values)
{
    std::set<std::string_view> seen;
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        if (!reader.has_string_at(name, index))
        {
            continue;
        }
        if (!is_name(values[index], fleet_limits::name_bytes))
        {
            reader.fault_at(name, index,
                            "a name in " + quoted(name) + " must have 1 to " +
                                std::to_string(fleet_limits::name_bytes) +
                                " characters out of letters, digits, '.', '_' and '-'");
        }
        else if (!seen.insert(values[index]).second)
        {
            reader.fault_at(name, index, quoted(values[index]) + " is repeated in " + quoted(name));
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
        this->readers.root.fault("zones", "'zones' must name at least one zone");
    }
    check_name_list(this->readers.root, "zones", this->config.zones);
}

void fleet_config_checker::check_references(toml_reader& reader, std::string_view name,
                                            const std::vector<std::string>& values, const name_index& known,
                                            std::string_view kind)
{
    check_name_list(reader, name, values);
    for (std::size_t index = 0; index < values.size(); ++index)
    {
        if (is_name(values[index], fleet_limits::name_bytes) && !known.contains(values[index]))
        {
            reader.fault_at(name, index, "unknown " + std::string{kind} + " " + quoted(values[index]));
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
            this->readers.services[index].fault("name", "the service " + quoted(name) + " is repeated");
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
    enum class mark : std::uint8_t
    {
        unseen,
        open,
        done,
    };
    struct step
    {
        std::size_t service;
        std::size_t next; ///< Position in depends_on that is visited next.
    };
    std::vector<mark> marks(this->config.services.size(), mark::unseen);
    for (std::size_t start = 0; start < marks.size(); ++start)
    {
        // An explicit stack: a chain may be as long as the list of services.
        std::vector<step> stack;
        const auto enter = [&](std::size_t service)
        {
            marks[service] = mark::open;
            stack.push_back({.service = service, .next = 0});
        };
        if (marks[start] == mark::unseen)
        {
            enter(start);
        }
        while (!stack.empty())
        {
            const std::size_t service = stack.back().service;
            const auto& names = this->config.services[service].depends_on;
            if (stack.back().next == names.size())
            {
                marks[service] = mark::done;
                stack.pop_back();
                continue;
            }
            const std::size_t position = stack.back().next++;
            const auto target = this->services.find(names[position]);
            if (target == this->services.end() || marks[target->second] == mark::done)
            {
                continue;
            }
            if (marks[target->second] == mark::unseen)
            {
                enter(target->second);
                continue;
            }
            std::string chain;
            auto first = std::find_if(stack.begin(), stack.end(),
                                      [&](const step& entry) { return entry.service == target->second; });
            for (; first != stack.end(); ++first)
            {
                chain += this->config.services[first->service].name + " -> ";
            }
            this->readers.services[service].fault_at("depends_on", position,
                                                     "dependency cycle: " + chain + names[position]);
        }
    }
}

void fleet_config_checker::check_routes()
{
    std::set<std::pair<std::string_view, std::string_view>> names;
    // The views refer to the configuration; a deduced tuple would copy the strings and leave them dangling.
    using rule_key = std::tuple<std::string_view, std::string_view, std::string_view>;
    std::map<rule_key, std::string_view> rules;
    for (std::size_t index = 0; index < this->config.routes.size(); ++index)
    {
        const route_config& route = this->config.routes[index];
        toml_reader& reader = this->readers.routes[index];
        if (!route.name.empty() && !names.emplace(route.service, route.name).second)
        {
            reader.fault("name", "the route " + quoted(route.name) + " of service " + quoted(route.service) +
                                     " is repeated");
        }
        const auto [rule, added] =
            rules.emplace(rule_key{route.service, route.method, route.path}, route.name);
        if (!added && !route.path.empty() && !route.method.empty())
        {
            reader.fault("path",
                         "the route has the same service, method and path as route " + quoted(rule->second));
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
        reader.fault("tenants", "an open route must not list tenants");
    }
    this->check_references(reader, "calls", route.calls, this->services, "service");
    if (route.service.empty())
    {
        return;
    }
    const auto service = this->services.find(route.service);
    if (service == this->services.end())
    {
        reader.fault("service", "unknown service " + quoted(route.service));
        return;
    }
    const auto& depends_on = this->config.services[service->second].depends_on;
    for (std::size_t call = 0; call < route.calls.size(); ++call)
    {
        const std::string& name = route.calls[call];
        if (this->services.contains(name) &&
            std::find(depends_on.begin(), depends_on.end(), name) == depends_on.end())
        {
            reader.fault_at("calls", call,
                            quoted(name) + " is not in depends_on of service " + quoted(route.service));
        }
    }
}

void fleet_config_checker::check_tenants()
{
    struct key_place
    {
        std::string_view tenant;
        std::string_view id;
    };
    std::unordered_map<key_digest, key_place, key_digest_hash> digests;
    for (std::size_t index = 0; index < this->config.tenants.size(); ++index)
    {
        const tenant_config& tenant = this->config.tenants[index];
        if (!tenant.name.empty() && !this->tenants.emplace(tenant.name, index).second)
        {
            this->readers.tenants[index].fault("name", "the tenant " + quoted(tenant.name) + " is repeated");
        }
        std::set<std::string_view> ids;
        for (std::size_t place = 0; place < tenant.keys.size(); ++place)
        {
            const tenant_key& key = tenant.keys[place];
            toml_reader& reader = this->readers.keys[index][place];
            if (!key.id.empty() && !ids.insert(key.id).second)
            {
                reader.fault("id", "the key id " + quoted(key.id) + " of tenant " + quoted(tenant.name) +
                                       " is repeated");
            }
            // A digest of zeros stands for one that could not be read; it was reported already.
            if (key.digest == key_digest{})
            {
                continue;
            }
            const auto [other, added] =
                digests.emplace(key.digest, key_place{.tenant = tenant.name, .id = key.id});
            if (!added)
            {
                reader.fault("sha256", "the digest is already used by key " + quoted(other->second.id) +
                                           " of tenant " + quoted(other->second.tenant));
            }
        }
    }
}

} // namespace laburnumreach::config
