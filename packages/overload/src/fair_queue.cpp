#include "laburnumreach/overload/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::overload
{

fair_queue::fair_queue(const queue_options& queue)
    : options(queue), pool(queue.capacity), guarantee(queue.minimum_shares)
{
    assert(queue.capacity > 0);
}

std::size_t fair_queue::size(core::priority_class cls) const noexcept
{
    return this->classes[static_cast<std::size_t>(cls)].count;
}

tenant_round_robin& fair_queue::band_of(const queued_call& call)
{
    return this->classes[static_cast<std::size_t>(call.position.cls)].bands[call.depth > 0 ? 0 : 1];
}

std::optional<std::uint32_t> fair_queue::victim(class_queue& queue)
{
    const auto new_call = queue.bands[1].newest_of_most_loaded_tenant();
    return new_call ? new_call : queue.bands[0].newest_of_most_loaded_tenant();
}

std::optional<std::uint32_t> fair_queue::choose_victim(const queued_call& incoming)
{
    const auto own_class = static_cast<std::size_t>(incoming.position.cls);
    const bool class_full = this->classes[own_class].count >= this->options.class_capacity[own_class];
    if (!class_full)
    {
        for (std::size_t i = core::priority_class_count - 1; i > own_class; --i)
        {
            if (this->classes[i].count > this->options.reserved[i])
            {
                return this->victim(this->classes[i]);
            }
        }
    }
    // Within its own class, the incoming call is itself a candidate for eviction.
    const auto candidate = this->victim(this->classes[own_class]);
    if (!candidate)
    {
        return std::nullopt;
    }
    const queued_call& call = this->pool[*candidate].call;
    const bool consumed_work = incoming.depth > 0;
    const bool candidate_consumed_work = call.depth > 0;
    if (consumed_work != candidate_consumed_work)
    {
        return consumed_work ? candidate : std::nullopt;
    }
    const tenant_round_robin& band = this->band_of(incoming);
    const double load_with_incoming = band.calls_per_weight(incoming.tenant) + 1.0 / incoming.weight;
    return band.calls_per_weight(call.tenant) > load_with_incoming ? candidate : std::nullopt;
}

push_result fair_queue::push(const queued_call& call)
{
    push_result result;
    const auto cls = static_cast<std::size_t>(call.position.cls);
    if (this->count >= this->options.capacity ||
        this->classes[cls].count >= this->options.class_capacity[cls])
    {
        const auto chosen = this->choose_victim(call);
        if (!chosen)
        {
            return result;
        }
        result.evicted = this->extract(*chosen);
    }
    const std::uint32_t index = this->pool.add(call);
    this->band_of(call).push(this->pool, index);
    this->by_latest_start.emplace(call.latest_start, index);
    ++this->classes[cls].count;
    ++this->count;
    result.ticket = queue_ticket{index, this->pool[index].generation};
    return result;
}

queued_call fair_queue::extract(std::uint32_t index)
{
    const queued_call call = this->pool[index].call;
    this->band_of(call).remove(this->pool, index);
    this->by_latest_start.erase({call.latest_start, index});
    this->pool.release(index);
    class_queue& queue = this->classes[static_cast<std::size_t>(call.position.cls)];
    --queue.count;
    --this->count;
    return call;
}

std::optional<std::size_t> fair_queue::next_class() const
{
    std::optional<std::size_t> most_important;
    std::optional<std::size_t> due_class;
    for (std::size_t i = 0; i < this->classes.size(); ++i)
    {
        if (this->classes[i].count == 0)
        {
            continue;
        }
        if (!most_important)
        {
            most_important = i;
        }
        const double credit = this->guarantee.credit(static_cast<core::priority_class>(i));
        if (credit >= 1.0 &&
            (!due_class || credit > this->guarantee.credit(static_cast<core::priority_class>(*due_class))))
        {
            due_class = i;
        }
    }
    return due_class ? due_class : most_important;
}

std::optional<queued_call> fair_queue::pop()
{
    const auto cls = this->next_class();
    if (!cls)
    {
        return std::nullopt;
    }
    auto& bands = this->classes[*cls].bands;
    auto index = bands[0].next();
    if (!index)
    {
        index = bands[1].next();
    }
    assert(index);
    const queued_call call = this->extract(*index);
    this->guarantee.record_admission(call.position.cls);
    for (std::size_t i = 0; i < this->classes.size(); ++i)
    {
        if (this->classes[i].count == 0)
        {
            this->guarantee.reset(static_cast<core::priority_class>(i));
        }
    }
    return call;
}

std::optional<queued_call> fair_queue::expire(core::time_point now)
{
    if (this->by_latest_start.empty() || this->by_latest_start.begin()->first >= now)
    {
        return std::nullopt;
    }
    return this->extract(this->by_latest_start.begin()->second);
}

std::optional<queued_call> fair_queue::remove(queue_ticket ticket)
{
    if (ticket.index >= this->pool.capacity())
    {
        return std::nullopt;
    }
    const queue_entry_pool::entry& found = this->pool[ticket.index];
    if (!found.used || found.generation != ticket.generation)
    {
        return std::nullopt;
    }
    return this->extract(ticket.index);
}

} // namespace laburnumreach::overload
