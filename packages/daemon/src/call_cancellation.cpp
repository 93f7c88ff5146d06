#include "laburnumreach/daemon/call_cancellation.hpp"

#include <cassert>

namespace laburnumreach::daemon
{

call_cancellation::registration::registration(call_cancellation& call, http::cancellation& running)
    : owner(call), exchange(running)
{
    const std::lock_guard lock{this->owner.mutex};
    this->owner.exchanges.push_back(&this->exchange);
    if (this->owner.first_reason != core::reason::none)
    {
        this->exchange.cancel();
    }
}

call_cancellation::registration::~registration()
{
    const std::lock_guard lock{this->owner.mutex};
    std::erase(this->owner.exchanges, &this->exchange);
}

call_cancellation::link::link(call_cancellation& source, call_cancellation& target) : from(source), to(target)
{
    const std::lock_guard lock{this->from.mutex};
    this->from.linked.push_back(&this->to);
    if (this->from.first_reason != core::reason::none)
    {
        this->to.cancel(this->from.first_reason);
    }
}

call_cancellation::link::~link()
{
    const std::lock_guard lock{this->from.mutex};
    std::erase(this->from.linked, &this->to);
}

void call_cancellation::cancel(core::reason why)
{
    assert(why != core::reason::none);
    const std::lock_guard lock{this->mutex};
    if (this->first_reason != core::reason::none)
    {
        return;
    }
    this->first_reason = why;
    for (http::cancellation* exchange : this->exchanges)
    {
        exchange->cancel();
    }
    // Links always lead from a call to the calls it caused, so the locks are taken in one order.
    for (call_cancellation* call : this->linked)
    {
        call->cancel(why);
    }
}

core::reason call_cancellation::why() const
{
    const std::lock_guard lock{this->mutex};
    return this->first_reason;
}

} // namespace laburnumreach::daemon
