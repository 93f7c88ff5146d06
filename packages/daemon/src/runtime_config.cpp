#include "laburnumreach/daemon/runtime_config.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::daemon
{

namespace
{

/// Returns a name for a set of services; equal sets have equal names in all configurations.
std::string dependency_set_name(const config::route_config& route)
{
    std::vector<std::string> calls = route.calls;
    std::sort(calls.begin(), calls.end());
    std::string name = "calls";
    for (const std::string& call : calls)
    {
        name += '/';
        name += call;
    }
    return name;
}

} // namespace

runtime_config::runtime_config(std::unique_ptr<config::fleet_index> index, std::string text,
                               std::vector<std::shared_ptr<tenant_quota>> tenant_quotas, name_registry& names)
    : compiled(std::move(index)), source(std::move(text)), quotas(std::move(tenant_quotas))
{
    const config::fleet_config& config = this->compiled->config();
    assert(this->quotas.size() == config.tenants.size());
    for (const config::tenant_config& tenant : config.tenants)
    {
        this->tenant_numbers.push_back(names.number_of(tenant.name));
    }
    for (const config::route_config& route : config.routes)
    {
        this->dependency_sets.push_back(names.number_of(dependency_set_name(route)));
    }
}

} // namespace laburnumreach::daemon
