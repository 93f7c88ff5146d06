#include "laburnumreach/overload/tenant_rounds.hpp"

#include <algorithm>
#include <cassert>

namespace laburnumreach::overload
{

std::vector<tenant_rounds::lane>::iterator tenant_rounds::find(tenant_id tenant)
{
    return std::find_if(this->lanes.begin(), this->lanes.end(),
                        [&](const lane& candidate) { return candidate.tenant == tenant; });
}

void tenant_rounds::push(entry_store& store, std::uint32_t index)
{
    entry_store::entry& added = store[index];
    assert(added.call.weight > 0.0);
    auto found = this->find(added.call.tenant);
    if (found == this->lanes.end())
    {
        // Allocates only while the number of waiting tenants is at its highest so far.
        found = this->lanes.insert(this->lanes.end(), lane{.tenant = added.call.tenant});
    }
    lane& own = *found;
    own.weight = added.call.weight;
    this->max_weight = std::max(this->max_weight, own.weight);
    added.previous = own.newest;
    added.next = entry_store::none;
    (own.newest == entry_store::none ? own.oldest : store[own.newest].next) = index;
    own.newest = index;
    ++own.count;
    ++this->count;
}

std::optional<std::uint32_t> tenant_rounds::next()
{
    if (this->lanes.empty())
    {
        return std::nullopt;
    }
    // Each visit adds at most one call to a deficit, so that a heavy tenant is interleaved with the others.
    while (true)
    {
        lane& own = this->lanes[this->current];
        if (own.deficit >= 1.0)
        {
            own.deficit -= 1.0;
            return own.oldest;
        }
        this->current = (this->current + 1) % this->lanes.size();
        lane& visited = this->lanes[this->current];
        visited.deficit += visited.weight / this->max_weight;
    }
}

void tenant_rounds::remove(entry_store& store, std::uint32_t index)
{
    const entry_store::entry& removed = store[index];
    const auto found = this->find(removed.call.tenant);
    assert(found != this->lanes.end());
    lane& own = *found;
    (removed.previous == entry_store::none ? own.oldest : store[removed.previous].next) = removed.next;
    (removed.next == entry_store::none ? own.newest : store[removed.next].previous) = removed.previous;
    --own.count;
    --this->count;
    if (own.count > 0)
    {
        return;
    }
    const auto position = static_cast<std::size_t>(found - this->lanes.begin());
    this->lanes.erase(found);
    if (position < this->current)
    {
        --this->current;
    }
    if (this->current >= this->lanes.size())
    {
        this->current = 0;
    }
    if (this->lanes.empty())
    {
        this->max_weight = 0.0;
    }
}

std::optional<std::uint32_t> tenant_rounds::newest_of_most_over_share() const
{
    const auto found = std::max_element(
        this->lanes.begin(), this->lanes.end(),
        [](const lane& a, const lane& b)
        { return static_cast<double>(a.count) * b.weight < static_cast<double>(b.count) * a.weight; });
    if (found == this->lanes.end())
    {
        return std::nullopt;
    }
    return found->newest;
}

double tenant_rounds::load_of(tenant_id tenant) const
{
    const auto found = std::find_if(this->lanes.begin(), this->lanes.end(),
                                    [&](const lane& candidate) { return candidate.tenant == tenant; });
    return found == this->lanes.end() ? 0.0 : static_cast<double>(found->count) / found->weight;
}

} // namespace laburnumreach::overload
