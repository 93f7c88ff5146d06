#include "laburnumreach/daemon/call_registry.hpp"

#include "laburnumreach/daemon/random_id.hpp"

namespace laburnumreach::daemon
{

std::string handle_registry::add(const std::shared_ptr<call_context>& call)
{
    std::string handle = make_random_id();
    const std::lock_guard lock{this->mutex};
    this->calls.emplace(handle, call);
    return handle;
}

void handle_registry::remove(std::string_view handle)
{
    const std::lock_guard lock{this->mutex};
    this->calls.erase(std::string{handle});
}

std::shared_ptr<call_context> handle_registry::find(std::string_view handle) const
{
    const std::lock_guard lock{this->mutex};
    const auto found = this->calls.find(std::string{handle});
    return found == this->calls.end() ? nullptr : found->second;
}

std::size_t handle_registry::size() const
{
    const std::lock_guard lock{this->mutex};
    return this->calls.size();
}

void entry_registry::add(const std::shared_ptr<call_context>& call)
{
    const std::lock_guard lock{this->mutex};
    this->calls.insert(call);
}

void entry_registry::remove(const std::shared_ptr<call_context>& call)
{
    const std::lock_guard lock{this->mutex};
    this->calls.erase(call);
}

std::size_t entry_registry::cancel_withdrawn(const config::fleet_index& index)
{
    std::size_t cancelled = 0;
    const std::lock_guard lock{this->mutex};
    for (const auto& call : this->calls)
    {
        if (call->key && !index.find_key(*call->key))
        {
            call->cancellation.cancel(core::reason::key_withdrawn);
            ++cancelled;
        }
    }
    return cancelled;
}

void entry_registry::cancel_all(core::reason why)
{
    const std::lock_guard lock{this->mutex};
    for (const auto& call : this->calls)
    {
        call->cancellation.cancel(why);
    }
}

std::size_t entry_registry::size() const
{
    const std::lock_guard lock{this->mutex};
    return this->calls.size();
}

} // namespace laburnumreach::daemon
