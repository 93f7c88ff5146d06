#include "laburnumreach/sidecar/slot_queue.hpp"

#include <cassert>
#include <iterator>

namespace laburnumreach::sidecar
{

void slot_queue::push(const waiting_call& call)
{
    const bool inserted = this->calls.emplace(call.key, call).second;
    assert(inserted);
    static_cast<void>(inserted);
    this->ordered_calls(call).insert(order_key_of(call));
    this->by_latest_start.emplace(call.latest_start, call.key);
    this->by_arrival.emplace(call.arrived, call.key);
}

waiting_call slot_queue::take(std::uint64_t key)
{
    const auto found = this->calls.find(key);
    assert(found != this->calls.end());
    const waiting_call call = found->second;
    this->calls.erase(found);
    this->ordered_calls(call).erase(order_key_of(call));
    this->by_latest_start.erase({call.latest_start, key});
    this->by_arrival.erase({call.arrived, key});
    return call;
}

std::optional<waiting_call> slot_queue::pop()
{
    if (this->calls.empty())
    {
        return std::nullopt;
    }
    bool from_direct = this->nested.empty();
    if (!this->nested.empty() && !this->direct.empty())
    {
        this->direct_credit += direct_share;
        from_direct = this->direct_credit >= 1.0;
        this->direct_credit -= from_direct ? 1.0 : 0.0;
    }
    const std::set<order_key>& chosen = from_direct ? this->direct : this->nested;
    return this->take(std::get<std::uint64_t>(*chosen.begin()));
}

core::duration slot_queue::expected_wait(const waiting_call& call, core::duration start_interval) const
{
    const auto ahead = std::distance(this->direct.begin(), this->direct.lower_bound(order_key_of(call)));
    const double starts = static_cast<double>(ahead + 1) / (this->nested.empty() ? 1.0 : direct_share);
    return std::chrono::duration_cast<core::duration>(start_interval * starts);
}

std::optional<waiting_call> slot_queue::pop_expired(core::time_point now)
{
    if (this->by_latest_start.empty() || this->by_latest_start.begin()->first > now)
    {
        return std::nullopt;
    }
    return this->take(this->by_latest_start.begin()->second);
}

std::optional<waiting_call> slot_queue::pop_least_important()
{
    if (this->calls.empty())
    {
        return std::nullopt;
    }
    const std::set<order_key>& chosen = this->direct.empty() ? this->nested : this->direct;
    return this->take(std::get<std::uint64_t>(*chosen.rbegin()));
}

bool slot_queue::remove(std::uint64_t key)
{
    if (!this->calls.contains(key))
    {
        return false;
    }
    this->take(key);
    return true;
}

std::optional<core::time_point> slot_queue::oldest_arrival() const
{
    if (this->by_arrival.empty())
    {
        return std::nullopt;
    }
    return this->by_arrival.begin()->first;
}

} // namespace laburnumreach::sidecar
