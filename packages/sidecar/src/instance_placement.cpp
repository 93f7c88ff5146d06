#include "laburnumreach/sidecar/instance_placement.hpp"

#include <algorithm>
#include <vector>

namespace laburnumreach::sidecar
{

peer_link* instance_placement::find_link(const std::string& daemon) const
{
    const auto found = this->links_by_daemon.find(daemon);
    return found == this->links_by_daemon.end() ? nullptr : found->second.get();
}

core::duration instance_placement::mean_run_time(const std::string& service) const
{
    std::chrono::milliseconds total{};
    int count = 0;
    for (const auto& [daemon, known] : this->instances)
    {
        if (known.status.service == service)
        {
            total += std::chrono::milliseconds{known.status.run_ms};
            ++count;
        }
    }
    return count == 0 ? core::duration{} : core::duration{total} / count;
}

const std::string* instance_placement::choose(const std::string& service,
                                              std::span<const std::string> excluded,
                                              const choice_options& options) const
{
    std::vector<choice_candidate> candidates;
    std::vector<const std::string*> daemons;
    for (const auto& [daemon, known] : this->instances)
    {
        const bool usable = known.status.accepts_work && known.status.service == service;
        if (!usable || std::find(excluded.begin(), excluded.end(), daemon) != excluded.end())
        {
            continue;
        }
        const bool local = daemon == this->daemon_id;
        const peer_link* link = local ? nullptr : this->find_link(daemon);
        if (!local && (link == nullptr || !link->usable()))
        {
            continue;
        }
        candidates.push_back({.same_zone = local || link->target().zone == this->zone,
                              .slots = static_cast<double>(known.status.slots),
                              .load = known.status.running + known.status.queued + known.sent_since_report,
                              .mean_run_ms = static_cast<double>(known.status.run_ms)});
        daemons.push_back(&daemon);
    }
    const std::optional<std::size_t> chosen = choose_instance(candidates, options);
    return chosen ? daemons[*chosen] : nullptr;
}

} // namespace laburnumreach::sidecar
