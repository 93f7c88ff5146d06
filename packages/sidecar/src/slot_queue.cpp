#include "laburnumreach/sidecar/slot_queue.hpp"

#include <cassert>

namespace laburnumreach::sidecar
{

void slot_queue::push(const waiting_call& call)
{
    const bool inserted = this->calls.emplace(call.key, call).second;
    assert(inserted);
    static_cast<void>(inserted);
    this->by_rank.insert(rank_of(call));
    this->by_latest_start.emplace(call.latest_start, call.key);
    this->by_arrival.emplace(call.arrived, call.key);
}

waiting_call slot_queue::take(std::uint64_t key)
{
    const auto place = this->calls.find(key);
    assert(place != this->calls.end());
    const waiting_call call = place->second;
    this->calls.erase(place);
    this->by_rank.erase(rank_of(call));
    this->by_latest_start.erase({call.latest_start, key});
    this->by_arrival.erase({call.arrived, key});
    return call;
}

std::optional<waiting_call> slot_queue::pop()
{
    if (this->by_rank.empty())
    {
        return std::nullopt;
    }
    return this->take(std::get<std::uint64_t>(*this->by_rank.begin()));
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
    if (this->by_rank.empty())
    {
        return std::nullopt;
    }
    return this->take(std::get<std::uint64_t>(*this->by_rank.rbegin()));
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
