#include "laburnumreach/sidecar/instance_state.hpp"

#include <algorithm>
#include <utility>

namespace laburnumreach::sidecar
{

instance_state::instance_state(options initial_settings)
    : settings(std::move(initial_settings)),
      knew_working_instance(this->settings.history == instance_history::complete),
      doubt_since(this->settings.process_start)
{
}

bool instance_state::apply(const instance_heartbeat& heartbeat)
{
    if (heartbeat.address != this->settings.address)
    {
        return false;
    }
    if (!this->current)
    {
        if (heartbeat.draining)
        {
            return this->adopt(heartbeat, true);
        }
        return this->knew_working_instance && !this->has_departed(heartbeat.id)
                   ? this->adopt(heartbeat, false)
                   : this->contest(heartbeat);
    }
    switch (this->compare(heartbeat))
    {
    case relation::same:
        return this->apply_same(heartbeat);
    case relation::earlier:
        // Late, unless the clock was set back before the instance started.
        return heartbeat.id != this->current->id && !heartbeat.draining && this->contest(heartbeat);
    case relation::later:
        if (heartbeat.draining || (this->knew_working_instance && !this->has_departed(heartbeat.id) &&
                                   heartbeat.service == this->current->service))
        {
            return this->adopt(heartbeat, heartbeat.draining);
        }
        break;
    case relation::unordered:
        break;
    }
    if (heartbeat.draining)
    {
        this->record_departure(heartbeat.id);
    }
    return this->contest(heartbeat);
}

instance_state::relation instance_state::compare(const instance_heartbeat& heartbeat) const
{
    const std::uint64_t known = this->current->started_ms;
    const bool same_id = heartbeat.id == this->current->id;
    if (known == 0 || heartbeat.started_ms == known)
    {
        return same_id ? relation::same : relation::unordered;
    }
    if (heartbeat.started_ms == 0)
    {
        return same_id ? relation::earlier : relation::unordered;
    }
    return heartbeat.started_ms < known ? relation::earlier : relation::later;
}

/// Applies a heartbeat with the id of the current incarnation, and with its start time if that is known.
bool instance_state::apply_same(const instance_heartbeat& heartbeat)
{
    const bool start_was_unknown = this->current->started_ms == 0 && heartbeat.started_ms != 0;
    if (start_was_unknown && this->leaving && !heartbeat.draining)
    {
        // Either a late heartbeat of the incarnation that leaves, or a new one under the same id.
        return this->contest(heartbeat);
    }
    if (!start_was_unknown && heartbeat.sequence <= this->current->sequence)
    {
        return false;
    }
    this->doubt_since = heartbeat.received;
    // An incarnation that started to drain never accepts new work again, even if a later heartbeat is not
    // draining.
    const bool changed = (heartbeat.draining && !this->leaving) ||
                         this->current->service != heartbeat.service ||
                         this->current->slots != heartbeat.slots;
    this->leaving = this->leaving || heartbeat.draining;
    this->current = heartbeat;
    return changed;
}

/// Keeps a heartbeat as a claim until a health check confirms it.
/// @returns whether it is believed without a further one: the instance has answered one already, or the
///          heartbeat arrived too late to have been sent before what it contradicts
bool instance_state::contest(const instance_heartbeat& heartbeat)
{
    if (this->claim)
    {
        const bool same = this->claim->id == heartbeat.id && this->claim->started_ms == heartbeat.started_ms;
        if (same ? heartbeat.sequence <= this->claim->sequence
                 : heartbeat.started_ms < this->claim->started_ms)
        {
            return false;
        }
    }
    if (heartbeat.id == this->confirmed_id || heartbeat.received - this->doubt_since >= max_heartbeat_delay)
    {
        return this->adopt(heartbeat, heartbeat.draining);
    }
    this->claim = heartbeat;
    return false;
}

/// Makes an incarnation the current one.
bool instance_state::adopt(const instance_heartbeat& incarnation, bool is_leaving)
{
    this->current = incarnation;
    this->leaving = is_leaving;
    this->knew_working_instance = this->knew_working_instance || !is_leaving;
    this->doubt_since = std::max(this->doubt_since, incarnation.received);
    this->claim.reset();
    this->confirmed_id.clear();
    std::erase(this->departed, incarnation.id);
    return true;
}

bool instance_state::has_departed(std::string_view id) const
{
    return std::find(this->departed.begin(), this->departed.end(), id) != this->departed.end();
}

void instance_state::record_departure(std::string_view id)
{
    constexpr std::size_t max_departed = 8; // Several incarnations in a row, or requests of other programs.
    this->confirmed_id.clear();
    if (!this->has_departed(id))
    {
        this->departed.emplace_back(id);
    }
    if (this->departed.size() > max_departed)
    {
        this->departed.pop_front();
    }
}

bool instance_state::deregister(std::string_view id, core::time_point now)
{
    this->doubt_since = std::max(this->doubt_since, now);
    bool changed = false;
    if (this->current && this->current->id == id)
    {
        changed = !std::exchange(this->leaving, true);
    }
    else if (!this->current && this->claim && this->claim->id == id)
    {
        changed = this->adopt(instance_heartbeat{*this->claim}, true);
    }
    if (this->claim && this->claim->id == id)
    {
        this->claim.reset();
    }
    // It may be an incarnation whose first heartbeat has not arrived yet.
    this->record_departure(id);
    return changed;
}

bool instance_state::confirm(const instance_heartbeat& answer)
{
    const bool is_current = this->current && this->current->id == answer.id;
    const bool is_claimed = this->claim && this->claim->id == answer.id;
    if (is_claimed && (!is_current || this->leaving))
    {
        return this->adopt(instance_heartbeat{*this->claim}, this->claim->draining);
    }
    if (is_current)
    {
        this->claim.reset(); // Its heartbeat was late, or did not come from the instance.
        return false;
    }
    if (this->has_departed(answer.id) || answer.slots == 0)
    {
        // Its next heartbeat tells the start time and the number of slots.
        this->confirmed_id = answer.id;
        return false;
    }
    return this->adopt(answer, false);
}

} // namespace laburnumreach::sidecar
