#ifndef LABURNUMREACH_DAEMON_NAME_REGISTRY_HPP
#define LABURNUMREACH_DAEMON_NAME_REGISTRY_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laburnumreach::daemon
{

/// Gives each name a number that stays the same while the daemon runs, also across configurations. Thread
/// safe.
class name_registry
{
public:
    std::uint32_t number_of(std::string_view name)
    {
        const std::lock_guard lock{this->mutex};
        return this->numbers.try_emplace(std::string{name}, static_cast<std::uint32_t>(this->numbers.size()))
            .first->second;
    }

private:
    std::mutex mutex;
    std::unordered_map<std::string, std::uint32_t> numbers;
};

} // namespace laburnumreach::daemon

#endif
