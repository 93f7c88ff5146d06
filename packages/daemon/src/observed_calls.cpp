#include "laburnumreach/daemon/observed_calls.hpp"

#include <algorithm>
#include <vector>

namespace laburnumreach::daemon
{

void observed_calls::add(std::string_view route, std::string_view called_service,
                         overload::dependency_set_id dependencies)
{
    const std::lock_guard lock{this->mutex};
    auto found = this->routes.find(route);
    if (found == this->routes.end())
    {
        found = this->routes.emplace(std::string{route}, std::set<called>{}).first;
    }
    found->second.emplace(std::string{called_service}, dependencies);
}

overload::admission_level observed_calls::dependency_level(core::time_point now, std::string_view route,
                                                           const destination_table& destinations) const
{
    std::vector<called> dependencies;
    {
        const std::lock_guard lock{this->mutex};
        const auto found = this->routes.find(route);
        if (found == this->routes.end())
        {
            return 0;
        }
        dependencies.assign(found->second.begin(), found->second.end());
    }
    overload::admission_level level = 0;
    for (const auto& [name, set] : dependencies)
    {
        if (const std::shared_ptr<called_service> service = destinations.find(name))
        {
            const std::lock_guard lock{service->mutex};
            level = std::max(level, service->destination.level(now, set));
        }
    }
    return level;
}

} // namespace laburnumreach::daemon
