#include "laburnumreach/sidecar/instance_dispatcher.hpp"

#include <tuple>

namespace laburnumreach::sidecar
{

void instance_dispatcher::allow_reading(std::size_t bytes, bool may_exceed)
{
    this->allowance->set(bytes);
    const auto urgency_order = [](const open_call& call) {
        return std::tuple{!call.message.nested, call.message.priority, call.arrived};
    };
    const open_call* most_urgent = nullptr;
    for (const auto& [id, call] : this->calls)
    {
        if (call.connection != nullptr &&
            (most_urgent == nullptr || urgency_order(call) < urgency_order(*most_urgent)))
        {
            most_urgent = &call;
        }
    }
    for (const auto& [id, call] : this->calls)
    {
        if (call.connection != nullptr)
        {
            call.connection->resume(may_exceed && &call == most_urgent);
        }
    }
}

std::size_t instance_dispatcher::held_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, call] : this->calls)
    {
        total += call.message.body.size() + (call.connection == nullptr ? 0 : call.connection->held_bytes());
    }
    return total;
}

std::size_t instance_dispatcher::response_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, call] : this->calls)
    {
        total += call.connection == nullptr ? 0 : call.connection->response_bytes();
    }
    return total;
}

} // namespace laburnumreach::sidecar
