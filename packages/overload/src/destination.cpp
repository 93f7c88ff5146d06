#include "laburnumreach/overload/destination.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

choice destination::choose(core::time_point now, const outgoing_call& call, core::random_source& random)
{
    std::optional<admission_position> position;
    if (call.depth > 0)
    {
        if (this->selector.queue_delay(now) >= call.remaining)
        {
            return {.instance = std::nullopt, .why = core::reason::deadline_unmeetable};
        }
    }
    else if (!call.retry)
    {
        admission_gate& gate = this->gates[call.dependencies];
        const admission_level own = this->selector.level(now);
        switch (gate.admit(now, call.position, own, random))
        {
        case admission_gate::decision::refused:
            return {.instance = std::nullopt,
                    .why = call.position.admitted_by(own) ? core::reason::downstream_overloaded
                                                          : core::reason::overloaded};
        case admission_gate::decision::admitted:
            position = call.position;
            break;
        case admission_gate::decision::admitted_over_level:
            break;
        }
    }
    choice result;
    result.instance = this->selector.pick(now, position, call.failed_instance, random, result.why);
    return result;
}

void destination::finish(core::time_point now, instance_id id, call_end end, core::duration latency,
                         core::random_source& random)
{
    this->selector.finish(now, id, end, latency, random);
    if (end == call_end::answered)
    {
        this->budget.record_success();
    }
}

void destination::record(core::time_point now, instance_id id, dependency_set_id dependencies,
                         const load_feedback& feedback)
{
    this->selector.record(now, id, feedback);
    this->gates[dependencies].record(now, feedback.dependency_level);
}

admission_level destination::level(core::time_point now, dependency_set_id dependencies) const
{
    const auto gate = this->gates.find(dependencies);
    const admission_level further = gate == this->gates.end() ? 0 : gate->second.dependency_level(now);
    return std::max(this->selector.level(now), further);
}

} // namespace laburnumreach::overload
