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
    if (heartbeat.draining)
    {
        this->doubt_since = std::max(this->doubt_since, heartbeat.received);
        this->record_departure(
            {.departure = {.instance_id = heartbeat.id, .last_start_ms = heartbeat.started_ms},
             .may_include_later = heartbeat.started_ms == 0});
    }
    if (!this->current)
    {
        if (heartbeat.draining)
        {
            return this->adopt(heartbeat, true);
        }
        return this->knew_working_instance && !this->may_have_departed(heartbeat)
                   ? this->adopt(heartbeat, false)
                   : this->contest(heartbeat);
    }
    switch (this->compare(heartbeat))
    {
    case relation::same:
        return this->apply_same(heartbeat);
    case relation::earlier:
        // Late, unless the clock was set back before the instance started.
        if (heartbeat.id != this->current->id)
        {
            return !heartbeat.draining && this->contest(heartbeat);
        }
        if (!heartbeat.draining)
        {
            this->heard_earlier_start = heartbeat.started_ms;
            return false;
        }
        if (this->leaving || this->heard_earlier_start != heartbeat.started_ms)
        {
            return false;
        }
        // The incarnation with the later start has been silent since the other one was heard. Start times do
        // not tell which of them runs, so a further heartbeat needs a health check.
        this->record_departure(
            {.departure = {.instance_id = heartbeat.id, .last_start_ms = heartbeat.started_ms},
             .may_include_later = true});
        return this->adopt(heartbeat, true);
    case relation::later:
        if (heartbeat.draining || (this->knew_working_instance && !this->may_have_departed(heartbeat) &&
                                   heartbeat.service == this->current->service))
        {
            return this->adopt(heartbeat, heartbeat.draining);
        }
        break;
    case relation::unordered:
        break;
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
    this->heard_earlier_start = 0;
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
    const bool is_proven = heartbeat.received - this->doubt_since >= max_heartbeat_delay;
    if (!heartbeat.draining && this->has_departed(heartbeat))
    {
        if (!is_proven)
        {
            return false; // No health check can tell otherwise.
        }
        this->adopt(heartbeat, false);
        this->current_is_proven = true;
        return true;
    }
    if (this->claim)
    {
        const bool same = this->claim->id == heartbeat.id && this->claim->started_ms == heartbeat.started_ms;
        if (same ? heartbeat.sequence <= this->claim->sequence
                 : heartbeat.started_ms < this->claim->started_ms)
        {
            return false;
        }
    }
    if (heartbeat.id == this->confirmed_id || is_proven)
    {
        this->adopt(heartbeat, heartbeat.draining);
        this->current_is_proven = is_proven;
        return true;
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
    this->current_is_proven = false;
    this->heard_earlier_start = 0;
    if (!is_leaving)
    {
        std::erase_if(this->departed, [&](const departed_instance& entry)
                      { return entry.departure.instance_id == incarnation.id; });
    }
    return true;
}

const instance_state::departed_instance* instance_state::find_departed(std::string_view id) const
{
    const auto found =
        std::find_if(this->departed.begin(), this->departed.end(),
                     [id](const departed_instance& entry) { return entry.departure.instance_id == id; });
    return found == this->departed.end() ? nullptr : &*found;
}

/// Returns whether the incarnation of a heartbeat may be one that leaves, as far as its start time tells.
bool instance_state::may_have_departed(const instance_heartbeat& heartbeat) const
{
    const departed_instance* const found = this->find_departed(heartbeat.id);
    return found != nullptr && (found->may_include_later || this->has_departed(heartbeat));
}

/// Returns whether the incarnation of a heartbeat is one that leaves.
bool instance_state::has_departed(const instance_heartbeat& heartbeat) const
{
    const std::uint64_t last_start = this->last_departed_start(heartbeat.id);
    return last_start != 0 && heartbeat.started_ms <= last_start;
}

std::uint64_t instance_state::last_departed_start(std::string_view id) const
{
    const departed_instance* const found = this->find_departed(id);
    return found == nullptr ? 0 : found->departure.last_start_ms;
}

void instance_state::record_departure(const departed_instance& added)
{
    departed_instance merged = added;
    if (const departed_instance* const known = this->find_departed(added.departure.instance_id))
    {
        merged.departure.last_start_ms =
            std::max(merged.departure.last_start_ms, known->departure.last_start_ms);
        merged.may_include_later = merged.may_include_later || known->may_include_later;
    }
    std::erase_if(this->departed, [&](const departed_instance& entry)
                  { return entry.departure.instance_id == added.departure.instance_id; });
    this->departed.push_back(merged);
    if (this->departed.size() > max_departures)
    {
        this->departed.erase(
            std::min_element(this->departed.begin(), this->departed.end(),
                             [](const departed_instance& left, const departed_instance& right)
                             { return is_earlier(left.departure, right.departure); }));
    }
    this->confirmed_id.clear();
    if (this->claim && !this->claim->draining && this->has_departed(*this->claim))
    {
        this->claim.reset();
    }
}

bool instance_state::recall(const instance_departure& departure)
{
    const bool is_current = this->current && this->current->id == departure.instance_id;
    if (is_current && this->current_is_proven)
    {
        return false;
    }
    this->record_departure({.departure = departure, .may_include_later = departure.last_start_ms == 0});
    const bool leaves = is_current && !this->leaving && this->may_have_departed(*this->current);
    this->leaving = this->leaving || leaves;
    return leaves;
}

bool instance_state::deregister(std::string_view id, core::time_point now, std::uint64_t unix_ms)
{
    this->doubt_since = std::max(this->doubt_since, now);
    bool changed = false;
    std::uint64_t last_start_ms = unix_ms;
    if (this->current && this->current->id == id)
    {
        changed = !std::exchange(this->leaving, true);
        last_start_ms = std::max(last_start_ms, this->current->started_ms);
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
    this->record_departure({.departure = {.instance_id = std::string{id}, .last_start_ms = last_start_ms},
                            .may_include_later = unix_ms == 0});
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
    if (this->find_departed(answer.id) != nullptr || answer.slots == 0)
    {
        // Its next heartbeat tells the start time and the number of slots.
        this->confirmed_id = answer.id;
        return false;
    }
    return this->adopt(answer, false);
}

} // namespace laburnumreach::sidecar
