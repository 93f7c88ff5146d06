#include "laburnumreach/config/fleet_config_toml.hpp"

#include "fleet_config_checker.hpp"
#include "toml_reader.hpp"

#include <algorithm>
#include <array>

namespace laburnumreach::config
{

namespace
{

constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::int64_t max_attempts = 10;
constexpr std::array<std::string_view, 6> methods{"GET", "POST", "PUT", "PATCH", "DELETE", "*"};

service_config read_service(toml_reader& reader)
{
    service_config service{.name = reader.name("name", fleet_limits::name_bytes),
                           .depends_on = reader.strings("depends_on", fleet_limits::services)};
    reader.report_unknown_names();
    return service;
}

std::string read_method(toml_reader& reader)
{
    std::string method = reader.string("method", "*");
    if (std::find(methods.begin(), methods.end(), method) == methods.end())
    {
        reader.add_error("method", "'method' must be GET, POST, PUT, PATCH, DELETE or *");
        return {};
    }
    return method;
}

/// Reads the path of a route. Characters that no accepted request path has are errors, since such a route
/// could never match.
std::string read_path(toml_reader& reader)
{
    if (!reader.has("path"))
    {
        return reader.string("path");
    }
    std::string path = reader.string("path", "");
    const auto allowed = [](char value)
    { return value > ' ' && value <= '~' && value != '?' && value != '#' && value != '\\'; };
    if (!path.starts_with('/'))
    {
        reader.add_error("path", "'path' must start with '/'");
        return {};
    }
    if (path.size() > fleet_limits::path_bytes || !std::all_of(path.begin(), path.end(), allowed))
    {
        reader.add_error("path", "'path' must have at most " + std::to_string(fleet_limits::path_bytes) +
                                     " visible ASCII characters without '?', '#' and '\\'");
        return {};
    }
    return path;
}

core::priority_class read_priority(toml_reader& reader)
{
    const auto priority =
        core::parse_priority_class(reader.string("priority", core::to_string(core::priority_class::normal)));
    if (!priority)
    {
        reader.add_error("priority", "'priority' must be critical_fast, critical, normal or bulk");
    }
    return priority.value_or(core::priority_class::normal);
}

route_config read_route(toml_reader& reader)
{
    route_config route;
    route.service = reader.name("service", fleet_limits::name_bytes);
    route.name = reader.name("name", fleet_limits::name_bytes);
    route.method = read_method(reader);
    route.path = read_path(reader);
    route.priority = read_priority(reader);
    route.idempotent = reader.boolean("idempotent", route.idempotent);
    route.open = reader.boolean("open", route.open);
    route.tenants = reader.strings("tenants", fleet_limits::tenants);
    route.timeout =
        std::chrono::milliseconds{reader.integer("timeout_ms", route.timeout.count(), 1, max_timeout_ms)};
    route.attempts = static_cast<std::uint32_t>(reader.integer("attempts", route.attempts, 1, max_attempts));
    route.max_body_bytes = static_cast<std::uint64_t>(reader.integer(
        "max_body_bytes", static_cast<std::int64_t>(route.max_body_bytes), 0, fleet_limits::max_body_bytes));
    route.calls = reader.strings("calls", fleet_limits::services);
    reader.report_unknown_names();
    return route;
}

tenant_key read_key(toml_reader& reader)
{
    tenant_key key{.id = reader.name("id", fleet_limits::name_bytes), .digest = {}};
    const bool given = reader.has("sha256");
    const auto digest = parse_key_digest(reader.string("sha256"));
    // No known key has an all-zero digest; it is a placeholder that was left in the text.
    if (given && digest.value_or(key_digest{}) == key_digest{})
    {
        reader.add_error("sha256", "'sha256' must have 64 hex digits, not all zero");
    }
    key.digest = digest.value_or(key_digest{});
    reader.report_unknown_names();
    return key;
}

tenant_config read_tenant(toml_reader& reader, std::vector<toml_reader>& keys)
{
    tenant_config tenant;
    tenant.name = reader.name("name", fleet_limits::name_bytes);
    tenant.rate =
        reader.number("rate", std::nullopt, {.min = 0.0, .max = fleet_limits::rate, .exclusive_min = true});
    tenant.burst = reader.number("burst", std::nullopt,
                                 {.min = 1.0, .max = fleet_limits::burst, .exclusive_min = false});
    tenant.weight =
        reader.number("weight", 1.0, {.min = 0.0, .max = fleet_limits::weight, .exclusive_min = true});
    keys = reader.tables("key", fleet_limits::keys_per_tenant);
    for (toml_reader& key : keys)
    {
        tenant.keys.push_back(read_key(key));
    }
    reader.report_unknown_names();
    return tenant;
}

} // namespace

parse_result<fleet_config> parse_fleet_config(std::string_view text)
{
    if (text.size() > fleet_limits::text_bytes)
    {
        return tl::unexpected{std::vector{
            parse_error{.line = 0,
                        .column = 0,
                        .reason = "the text has " + std::to_string(text.size()) + " bytes, more than " +
                                  std::to_string(fleet_limits::text_bytes)}}};
    }
    parse_error_list errors;
    const auto root = parse_toml(text, errors);
    if (!root)
    {
        return tl::unexpected{std::move(errors).sorted()};
    }
    fleet_config config;
    fleet_readers readers{
        .root = toml_reader{*root, errors}, .services = {}, .routes = {}, .tenants = {}, .keys = {}};
    config.zones = readers.root.strings("zones", fleet_limits::zones);
    config.drained_instances = readers.root.strings("drained_instances", fleet_limits::drained_instances);
    readers.services = readers.root.tables("service", fleet_limits::services);
    readers.routes = readers.root.tables("route", fleet_limits::routes);
    readers.tenants = readers.root.tables("tenant", fleet_limits::tenants);
    readers.root.report_unknown_names();
    for (toml_reader& reader : readers.services)
    {
        config.services.push_back(read_service(reader));
    }
    for (toml_reader& reader : readers.routes)
    {
        config.routes.push_back(read_route(reader));
    }
    for (toml_reader& reader : readers.tenants)
    {
        config.tenants.push_back(read_tenant(reader, readers.keys.emplace_back()));
    }
    fleet_config_checker{config, readers}.check();
    if (!errors.empty())
    {
        return tl::unexpected{std::move(errors).sorted()};
    }
    return config;
}

} // namespace laburnumreach::config
