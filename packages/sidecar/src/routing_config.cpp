#include "laburnumreach/sidecar/routing_config.hpp"

#include "laburnumreach/http/headers.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

namespace
{

/// @param host a name, IPv4 address or bracketed IPv6 address, with or without a port
std::string_view host_without_port(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const std::size_t bracket = host.rfind(']');
    const bool has_port =
        colon != std::string_view::npos && (bracket == std::string_view::npos || colon > bracket);
    return has_port ? host.substr(0, colon) : host;
}

} // namespace

routing_config::routing_config(contents parts)
    : config_version(parts.version),
      health_paths(std::move(parts.health_paths)),
      limits_of_callers(parts.limits),
      decoder_warnings(std::move(parts.warnings))
{
    for (host_routes& entry : parts.hosts)
    {
        for (const route& candidate : entry.routes)
        {
            this->lowest_keyed_priority =
                std::max(this->lowest_keyed_priority, candidate.open ? 0 : candidate.priority);
        }
        std::vector<route>& routes = this->routes_by_host[http::lower_case(entry.host)];
        std::move(entry.routes.begin(), entry.routes.end(), std::back_inserter(routes));
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route& left, const route& right)
                         { return left.path_prefix.size() > right.path_prefix.size(); });
    }
    for (customer_keys& entry : parts.customers)
    {
        for (const std::string& key : entry.keys)
        {
            this->customer_by_key.emplace(key, this->customer_list.size());
        }
        this->customer_list.push_back(std::move(entry.owner));
    }
}

const route* routing_config::find_route(std::string_view host, std::string_view target) const
{
    const std::string name = http::lower_case(host_without_port(host));
    const auto found = this->routes_by_host.find(name);
    if (found == this->routes_by_host.end())
    {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    const auto match =
        std::find_if(found->second.begin(), found->second.end(),
                     [path](const route& candidate) { return path.starts_with(candidate.path_prefix); });
    return match == found->second.end() ? nullptr : &*match;
}

std::string routing_config::health_path(const std::string& service) const
{
    const auto found = this->health_paths.find(service);
    return found == this->health_paths.end() ? std::string{} : found->second;
}

const customer* routing_config::find_customer(std::string_view key) const
{
    const auto found = this->customer_by_key.find(std::string{key});
    return found == this->customer_by_key.end() ? nullptr : &this->customer_list[found->second];
}

} // namespace laburnumreach::sidecar
