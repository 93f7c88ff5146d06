#include "laburnumreach/overload/naive_destination.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

void naive_destination::set_instance(core::time_point /*now*/, const instance_info& info)
{
    const auto found = std::find_if(this->instances.begin(), this->instances.end(),
                                    [&](const instance_info& known) { return known.id == info.id; });
    if (found == this->instances.end())
    {
        this->instances.push_back(info);
    }
    else
    {
        *found = info;
    }
}

routing_decision naive_destination::choose(core::time_point /*now*/, const outgoing_call& /*call*/,
                                           core::random_source& /*random*/)
{
    for (std::size_t tried = 0; tried < this->instances.size(); ++tried)
    {
        const instance_info& candidate = this->instances[this->next];
        this->next = (this->next + 1) % this->instances.size();
        if (!candidate.draining)
        {
            routing_decision result;
            result.instance = candidate.id;
            return result;
        }
    }
    routing_decision none;
    none.why = core::reason::no_instance;
    return none;
}

} // namespace laburnumreach::overload
