#include "laburnumreach/config/fleet_config_toml.hpp"

#include <sstream>
#include <toml++/toml.h>

namespace laburnumreach::config
{

namespace
{

/// Appends "name = value" with the value quoted as in TOML.
template <typename Value>
void append(std::ostringstream& text, std::string_view name, const Value& value)
{
    text << name << " = " << toml::value<Value>{value} << '\n';
}

void append(std::ostringstream& text, std::string_view name, const std::vector<std::string>& values)
{
    text << name << " = [";
    std::string_view separator;
    for (const std::string& value : values)
    {
        text << separator << toml::value<std::string>{value};
        separator = ", ";
    }
    text << "]\n";
}

void append_route(std::ostringstream& text, const route_config& route)
{
    text << "\n[[route]]\n";
    append(text, "service", route.service);
    append(text, "name", route.name);
    append(text, "method", route.method);
    append(text, "path", route.path);
    append(text, "priority", std::string{core::to_string(route.priority)});
    append(text, "idempotent", route.idempotent);
    append(text, "open", route.open);
    append(text, "tenants", route.tenants);
    append(text, "timeout_ms", std::int64_t{route.timeout.count()});
    append(text, "attempts", std::int64_t{route.attempts});
    append(text, "max_body_bytes", static_cast<std::int64_t>(route.max_body_bytes));
    append(text, "calls", route.calls);
}

void append_tenant(std::ostringstream& text, const tenant_config& tenant)
{
    text << "\n[[tenant]]\n";
    append(text, "name", tenant.name);
    append(text, "rate", tenant.rate);
    append(text, "burst", tenant.burst);
    append(text, "weight", tenant.weight);
    for (const tenant_key& key : tenant.keys)
    {
        text << "\n[[tenant.key]]\n";
        append(text, "id", key.id);
        append(text, "sha256", to_hex(key.digest));
    }
}

} // namespace

std::string to_toml(const fleet_config& config)
{
    std::ostringstream text;
    append(text, "zones", config.zones);
    append(text, "drained_instances", config.drained_instances);
    for (const service_config& service : config.services)
    {
        text << "\n[[service]]\n";
        append(text, "name", service.name);
        append(text, "depends_on", service.depends_on);
    }
    for (const route_config& route : config.routes)
    {
        append_route(text, route);
    }
    for (const tenant_config& tenant : config.tenants)
    {
        append_tenant(text, tenant);
    }
    return std::move(text).str();
}

} // namespace laburnumreach::config
