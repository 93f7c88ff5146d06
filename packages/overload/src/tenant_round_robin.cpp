#include "laburnumreach/overload/tenant_round_robin.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::overload
{

std::vector<tenant_round_robin::tenant_queue>::iterator tenant_round_robin::find(tenant_id tenant)
{
    return std::find_if(this->queues.begin(), this->queues.end(),
                        [&](const tenant_queue& candidate) { return candidate.tenant == tenant; });
}

void tenant_round_robin::push(queue_entry_pool& pool, std::uint32_t index)
{
    queue_entry_pool::entry& added = pool[index];
    assert(added.call.weight > 0.0);
    auto found = this->find(added.call.tenant);
    if (found == this->queues.end())
    {
        // Allocates only when the number of customers with waiting calls exceeds its previous maximum.
        found = this->queues.insert(this->queues.end(), tenant_queue{.tenant = added.call.tenant});
    }
    tenant_queue& own = *found;
    own.weight = added.call.weight;
    this->max_weight = std::max(this->max_weight, own.weight);
    added.previous = own.newest;
    added.next = queue_entry_pool::none;
    (own.newest == queue_entry_pool::none ? own.oldest : pool[own.newest].next) = index;
    own.newest = index;
    ++own.count;
    ++this->count;
}

std::optional<std::uint32_t> tenant_round_robin::next()
{
    if (this->queues.empty())
    {
        return std::nullopt;
    }
    // Each visit adds at most one call to a deficit, so that calls of a customer with a large weight are
    // interleaved with the others.
    while (true)
    {
        tenant_queue& own = this->queues[this->current];
        if (own.deficit >= 1.0)
        {
            own.deficit -= 1.0;
            return own.oldest;
        }
        this->current = (this->current + 1) % this->queues.size();
        tenant_queue& visited = this->queues[this->current];
        visited.deficit += visited.weight / this->max_weight;
    }
}

void tenant_round_robin::remove(queue_entry_pool& pool, std::uint32_t index)
{
    const queue_entry_pool::entry& removed = pool[index];
    const auto found = this->find(removed.call.tenant);
    assert(found != this->queues.end());
    tenant_queue& own = *found;
    (removed.previous == queue_entry_pool::none ? own.oldest : pool[removed.previous].next) = removed.next;
    (removed.next == queue_entry_pool::none ? own.newest : pool[removed.next].previous) = removed.previous;
    --own.count;
    --this->count;
    if (own.count > 0)
    {
        return;
    }
    const auto position = static_cast<std::size_t>(found - this->queues.begin());
    this->queues.erase(found);
    if (position < this->current)
    {
        --this->current;
    }
    if (this->current >= this->queues.size())
    {
        this->current = 0;
    }
    if (this->queues.empty())
    {
        this->max_weight = 0.0;
    }
}

std::optional<std::uint32_t> tenant_round_robin::newest_of_most_loaded_tenant() const
{
    const auto found = std::max_element(
        this->queues.begin(), this->queues.end(),
        [](const tenant_queue& a, const tenant_queue& b)
        { return static_cast<double>(a.count) * b.weight < static_cast<double>(b.count) * a.weight; });
    if (found == this->queues.end())
    {
        return std::nullopt;
    }
    return found->newest;
}

double tenant_round_robin::calls_per_weight(tenant_id tenant) const
{
    const auto found =
        std::find_if(this->queues.begin(), this->queues.end(),
                     [&](const tenant_queue& candidate) { return candidate.tenant == tenant; });
    return found == this->queues.end() ? 0.0 : static_cast<double>(found->count) / found->weight;
}

} // namespace laburnumreach::overload
