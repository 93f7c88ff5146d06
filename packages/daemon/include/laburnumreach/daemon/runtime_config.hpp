#ifndef LABURNUMREACH_DAEMON_RUNTIME_CONFIG_HPP
#define LABURNUMREACH_DAEMON_RUNTIME_CONFIG_HPP

#include "laburnumreach/config/fleet_index.hpp"
#include "laburnumreach/daemon/name_registry.hpp"
#include "laburnumreach/daemon/tenant_quota.hpp"
#include "laburnumreach/overload/destination.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::daemon
{

/// A configuration in force with what traffic threads need beside it. Immutable; replaced as a whole.
class runtime_config
{
public:
    /// @param index the compiled configuration
    /// @param text the operators' text it was read from
    /// @param quotas quota of each tenant, in the order of the configuration
    runtime_config(std::unique_ptr<config::fleet_index> index, std::string text,
                   std::vector<std::shared_ptr<tenant_quota>> quotas, name_registry& names);

    const config::fleet_index& index() const noexcept { return *this->compiled; }
    const std::string& text() const noexcept { return this->source; }
    std::uint64_t revision() const noexcept { return this->compiled->revision(); }

    tenant_quota& quota(config::tenant_index tenant) const { return *this->quotas[tenant]; }

    /// Returns the number of a tenant that stays the same across configurations.
    std::uint32_t tenant_number(config::tenant_index tenant) const { return this->tenant_numbers[tenant]; }

    /// Returns the number of the set of services that a route calls; unique within its service.
    overload::dependency_set_id dependency_set(config::route_index route) const
    {
        return this->dependency_sets[route];
    }

private:
    std::unique_ptr<config::fleet_index> compiled;
    std::string source;
    std::vector<std::shared_ptr<tenant_quota>> quotas;
    std::vector<std::uint32_t> tenant_numbers;
    std::vector<overload::dependency_set_id> dependency_sets;
};

} // namespace laburnumreach::daemon

#endif
