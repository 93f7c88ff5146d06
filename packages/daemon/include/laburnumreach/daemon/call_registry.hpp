#ifndef LABURNUMREACH_DAEMON_CALL_REGISTRY_HPP
#define LABURNUMREACH_DAEMON_CALL_REGISTRY_HPP

#include "laburnumreach/config/fleet_index.hpp"
#include "laburnumreach/daemon/call_context.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace laburnumreach::daemon
{

/// Calls that run on the upstream beside this daemon, by the handle that the upstream got. Thread safe.
class handle_registry
{
public:
    /// Issues a random 128-bit handle for a call.
    std::string add(const std::shared_ptr<call_context>& call);

    /// Invalidates a handle when its call ends.
    void remove(std::string_view handle);

    /// Returns the running call of a handle, or null.
    std::shared_ptr<call_context> find(std::string_view handle) const;

    std::size_t size() const;

private:
    // One short lock for each call; the map cannot be per thread because nested calls arrive on other
    // threads.
    mutable std::mutex mutex;
    std::unordered_map<std::string, std::shared_ptr<call_context>> calls;
};

/// Calls from outside that run at this daemon, so that the withdrawal of a key can cancel them. Thread safe.
class entry_registry
{
public:
    void add(const std::shared_ptr<call_context>& call);
    void remove(const std::shared_ptr<call_context>& call);

    /// Cancels the calls whose key the configuration no longer has.
    /// @returns the number of calls cancelled
    std::size_t cancel_withdrawn(const config::fleet_index& index);

    /// Cancels every call.
    void cancel_all(core::reason why);

    std::size_t size() const;

private:
    mutable std::mutex mutex;
    std::unordered_set<std::shared_ptr<call_context>> calls;
};

} // namespace laburnumreach::daemon

#endif
