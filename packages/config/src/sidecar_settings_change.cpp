#include "laburnumreach/config/sidecar_settings_change.hpp"

namespace laburnumreach::config
{

std::vector<std::string> changes_that_need_a_restart(const sidecar_settings& active,
                                                     const sidecar_settings& loaded)
{
    std::vector<std::string> changed;
    const auto compare = [&](const char* name, auto member)
    {
        if (active.*member != loaded.*member)
        {
            changed.emplace_back(name);
        }
    };
    compare("daemon.id", &sidecar_settings::daemon_id);
    compare("daemon.zone", &sidecar_settings::zone);
    compare("upstream.service", &sidecar_settings::service);
    compare("upstream.address", &sidecar_settings::upstream);
    compare("listen.outbound", &sidecar_settings::outbound);
    compare("listen.ready", &sidecar_settings::ready);
    compare("listen.control", &sidecar_settings::control);
    compare("listen.peer_port", &sidecar_settings::peers);
    compare("listen.announced_address", &sidecar_settings::announced_address);
    compare("listen.metrics_port", &sidecar_settings::metrics_port);
    compare("store.address", &sidecar_settings::store);
    compare("limits.max_descriptors", &sidecar_settings::max_descriptors);
    return changed;
}

} // namespace laburnumreach::config
