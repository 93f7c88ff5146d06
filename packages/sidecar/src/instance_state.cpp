#include "laburnumreach/sidecar/instance_state.hpp"

namespace laburnumreach::sidecar
{

bool instance_state::apply(const instance_heartbeat& heartbeat)
{
    if (heartbeat.address != this->address)
    {
        return false;
    }
    const bool known = this->current.has_value();
    if (known && heartbeat.started_ms < this->current->started_ms)
    {
        return false; // A delayed heartbeat of an earlier incarnation.
    }
    const bool same_incarnation =
        known && heartbeat.id == this->current->id && heartbeat.started_ms == this->current->started_ms;
    if (same_incarnation && heartbeat.sequence <= this->current->sequence)
    {
        return false;
    }
    const bool was_leaving = this->leaving;
    // An incarnation that started to drain never accepts new work again, even if a later heartbeat is not
    // draining.
    this->leaving = same_incarnation ? this->leaving || heartbeat.draining : heartbeat.draining;
    const bool changed = !same_incarnation || was_leaving != this->leaving ||
                         this->current->service != heartbeat.service ||
                         this->current->slots != heartbeat.slots;
    this->current = heartbeat;
    return changed;
}

bool instance_state::deregister(std::string_view id)
{
    if (!this->current || this->current->id != id)
    {
        return false;
    }
    this->leaving = true;
    return true;
}

} // namespace laburnumreach::sidecar
