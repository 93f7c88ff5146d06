#include "laburnumreach/sidecar/departure_register.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

std::uint64_t departure_register::add(const instance_departure& departure)
{
    std::erase(this->withdrawn_ids, departure.instance_id);
    const auto same = std::find_if(this->entries.begin(), this->entries.end(),
                                   [&](const entry& known)
                                   { return known.departure.instance_id == departure.instance_id; });
    if (same != this->entries.end())
    {
        if (departure.last_start_ms > same->departure.last_start_ms)
        {
            same->departure = departure;
            same->revision = ++this->last_revision;
        }
        return same->revision;
    }
    this->entries.push_back({.departure = departure, .revision = ++this->last_revision});
    if (this->entries.size() > max_departures)
    {
        this->entries.erase(std::min_element(this->entries.begin(), this->entries.end(),
                                             [](const entry& left, const entry& right)
                                             { return is_earlier(left.departure, right.departure); }));
    }
    return this->last_revision;
}

bool departure_register::withdraw(std::string_view instance_id)
{
    const std::size_t removed = std::erase_if(this->entries, [&](const entry& known)
                                              { return known.departure.instance_id == instance_id; });
    if (removed == 0)
    {
        return false;
    }
    ++this->last_revision;
    this->withdrawn_ids.emplace_back(instance_id);
    if (this->withdrawn_ids.size() > max_departures)
    {
        this->withdrawn_ids.erase(this->withdrawn_ids.begin());
    }
    return true;
}

void departure_register::confirm(const std::string& holder, std::uint64_t confirmed_revision)
{
    std::uint64_t& known = this->confirmed[holder];
    known = std::max(known, confirmed_revision);
}

departure_outcome departure_register::outcome(std::uint64_t recorded_revision, core::duration waited,
                                              const departure_holders& holders) const
{
    const auto held = static_cast<std::size_t>(std::count_if(this->confirmed.begin(), this->confirmed.end(),
                                                             [&](const auto& holder)
                                                             { return holder.second >= recorded_revision; }));
    if (held > 0 && held >= std::min(wanted_holders, holders.reachable))
    {
        return departure_outcome::recorded;
    }
    if (waited < confirmation_time)
    {
        return departure_outcome::pending;
    }
    return held > 0 || holders.known == 0 ? departure_outcome::recorded : departure_outcome::failed;
}

std::vector<instance_departure> departure_register::departures() const
{
    std::vector<instance_departure> found;
    for (const entry& known : this->entries)
    {
        found.push_back(known.departure);
    }
    return found;
}

} // namespace laburnumreach::sidecar
