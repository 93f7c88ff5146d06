#include "laburnumreach/sidecar/instance_state.hpp"

namespace laburnumreach::sidecar
{

bool instance_state::apply(const instance_heartbeat& beat)
{
    if (beat.address != this->address)
    {
        return false;
    }
    const bool known = this->current.has_value();
    if (known && beat.started_ms < this->current->started_ms)
    {
        return false; // A delayed heartbeat of an earlier incarnation.
    }
    const bool same_incarnation =
        known && beat.id == this->current->id && beat.started_ms == this->current->started_ms;
    if (same_incarnation && beat.sequence <= this->current->sequence)
    {
        return false;
    }
    const bool was_leaving = this->leaving;
    // An incarnation that announced its end never takes new work again, also if a later heartbeat says so.
    this->leaving = same_incarnation ? this->leaving || beat.draining : beat.draining;
    const bool changed = !same_incarnation || was_leaving != this->leaving ||
                         this->current->service != beat.service || this->current->slots != beat.slots;
    this->current = beat;
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
