#include "laburnumreach/config/fleet_edit.hpp"

#include "laburnumreach/config/fleet_config_toml.hpp"

#include <algorithm>

namespace laburnumreach::config
{

namespace
{

tl::unexpected<core::error> not_found(std::string_view kind, std::string_view name)
{
    return core::make_error(core::error_code::not_found,
                            "there is no " + std::string{kind} + " '" + std::string{name} + "'");
}

core::result<tenant_config*> find_tenant(fleet_config& config, std::string_view name)
{
    const auto found = std::find_if(config.tenants.begin(), config.tenants.end(),
                                    [name](const tenant_config& tenant) { return tenant.name == name; });
    if (found == config.tenants.end())
    {
        return not_found("tenant", name);
    }
    return &*found;
}

auto find_key(tenant_config& tenant, std::string_view id)
{
    return std::find_if(tenant.keys.begin(), tenant.keys.end(),
                        [id](const tenant_key& key) { return key.id == id; });
}

} // namespace

core::result<void> grant_key(fleet_config& config, std::string_view tenant, std::string_view id,
                             const key_digest& digest)
{
    return find_tenant(config, tenant)
        .and_then(
            [&](tenant_config* found) -> core::result<void>
            {
                if (find_key(*found, id) != found->keys.end())
                {
                    return core::make_error(core::error_code::conflict, "tenant '" + found->name +
                                                                            "' already has a key '" +
                                                                            std::string{id} + "'");
                }
                found->keys.push_back({.id = std::string{id}, .digest = digest});
                return {};
            });
}

core::result<void> withdraw_key(fleet_config& config, std::string_view tenant, std::string_view id)
{
    return find_tenant(config, tenant)
        .and_then(
            [&](tenant_config* found) -> core::result<void>
            {
                const auto key = find_key(*found, id);
                if (key == found->keys.end())
                {
                    return not_found("key of tenant '" + found->name + "' with id", id);
                }
                found->keys.erase(key);
                return {};
            });
}

core::result<void> set_rate(fleet_config& config, std::string_view tenant, std::optional<double> rate,
                            std::optional<double> burst)
{
    return find_tenant(config, tenant)
        .map(
            [&](tenant_config* found)
            {
                found->rate = rate.value_or(found->rate);
                found->burst = burst.value_or(found->burst);
            });
}

core::result<void> set_weight(fleet_config& config, std::string_view tenant, double weight)
{
    return find_tenant(config, tenant).map([&](tenant_config* found) { found->weight = weight; });
}

core::result<void> set_priority(fleet_config& config, std::string_view service, std::string_view route,
                                core::priority_class priority)
{
    const auto found = std::find_if(config.routes.begin(), config.routes.end(),
                                    [&](const route_config& entry)
                                    { return entry.service == service && entry.name == route; });
    if (found == config.routes.end())
    {
        return not_found("route", std::string{service} + "/" + std::string{route});
    }
    found->priority = priority;
    return {};
}

core::result<void> drain_instance(fleet_config& config, std::string_view instance)
{
    auto& drained = config.drained_instances;
    if (std::find(drained.begin(), drained.end(), instance) != drained.end())
    {
        return core::make_error(core::error_code::conflict,
                                "instance '" + std::string{instance} + "' is drained already");
    }
    drained.emplace_back(instance);
    return {};
}

core::result<void> undrain_instance(fleet_config& config, std::string_view instance)
{
    if (std::erase(config.drained_instances, instance) == 0)
    {
        return not_found("drained instance", instance);
    }
    return {};
}

parse_result<std::string> checked_toml(const fleet_config& config)
{
    std::string text = to_toml(config);
    if (auto parsed = parse_fleet_config(text); !parsed)
    {
        return tl::unexpected{std::move(parsed.error())};
    }
    return text;
}

} // namespace laburnumreach::config
