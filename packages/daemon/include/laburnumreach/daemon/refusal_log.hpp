#ifndef LABURNUMREACH_DAEMON_REFUSAL_LOG_HPP
#define LABURNUMREACH_DAEMON_REFUSAL_LOG_HPP

#include "laburnumreach/core/verdict.hpp"

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumreach::daemon
{

/// What operators can learn about a refused request.
struct refusal_entry
{
    std::string request_id;
    std::string tenant;
    std::string service;
    std::string route;
    core::verdict verdict;
};

/// The latest refused requests. Thread safe.
class refusal_log
{
public:
    /// At a refusal rate of 1,000 per second this reaches back four seconds.
    static constexpr std::size_t capacity = 4096;

    void add(refusal_entry entry)
    {
        const std::lock_guard lock{this->mutex};
        this->entries.at(this->next) = std::move(entry);
        this->next = (this->next + 1) % capacity;
    }

    /// Returns the entry of a request id, or no value when there is none or it was overwritten.
    std::optional<refusal_entry> find(std::string_view request_id) const
    {
        const std::lock_guard lock{this->mutex};
        for (const refusal_entry& entry : this->entries)
        {
            if (!request_id.empty() && entry.request_id == request_id)
            {
                return entry;
            }
        }
        return std::nullopt;
    }

private:
    mutable std::mutex mutex;
    std::array<refusal_entry, capacity> entries;
    std::size_t next = 0;
};

} // namespace laburnumreach::daemon

#endif
