#include "laburnumreach/sidecar/departure_memory.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

void departure_memory::record(const std::string& daemon_id, std::span<const instance_departure> announced,
                              std::span<const std::string> withdrawn)
{
    const bool is_new = !this->departures.contains(daemon_id);
    if (is_new && (announced.empty() || this->departures.size() >= max_daemons))
    {
        return;
    }
    std::vector<instance_departure>& known = this->departures[daemon_id];
    std::erase_if(
        known, [&](const instance_departure& entry)
        { return std::find(withdrawn.begin(), withdrawn.end(), entry.instance_id) != withdrawn.end(); });
    for (const instance_departure& departure : announced)
    {
        const auto same = std::find_if(known.begin(), known.end(),
                                       [&](const instance_departure& entry)
                                       { return entry.instance_id == departure.instance_id; });
        if (same == known.end())
        {
            known.push_back(departure);
        }
        else
        {
            same->last_start_ms = std::max(same->last_start_ms, departure.last_start_ms);
        }
    }
    while (known.size() > max_departures)
    {
        known.erase(std::min_element(known.begin(), known.end(), is_earlier));
    }
    if (known.empty())
    {
        this->departures.erase(daemon_id);
    }
}

std::span<const instance_departure> departure_memory::departures_of(const std::string& daemon_id) const
{
    const auto found = this->departures.find(daemon_id);
    return found == this->departures.end() ? std::span<const instance_departure>{} : found->second;
}

} // namespace laburnumreach::sidecar
