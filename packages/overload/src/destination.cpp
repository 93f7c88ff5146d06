#include "laburnumreach/overload/destination.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

namespace
{

routing_decision refusal(core::reason why)
{
    routing_decision result;
    result.why = why;
    return result;
}

} // namespace

routing_decision destination::choose(core::time_point now, const outgoing_call& call,
                                     core::random_source& random)
{
    pick_request request{
        .position = call.position, .ignore_level = true, .failed_instance = call.failed_instance};
    if (call.depth > 0)
    {
        if (this->selector.queue_delay(now) >= call.remaining)
        {
            return refusal(core::reason::deadline_unmeetable);
        }
    }
    else if (!call.retry)
    {
        admission_gate& gate = this->gates[call.dependencies];
        const admission_level own = this->selector.level(now);
        const admission_gate::decision decision = gate.admit(now, call.position, own, random);
        if (decision == admission_gate::decision::refused)
        {
            return refusal(call.position.admitted_by(own) ? core::reason::downstream_overloaded
                                                          : core::reason::overloaded);
        }
        request.ignore_level = decision == admission_gate::decision::admitted_despite_level;
    }
    routing_decision result;
    if (call.depth == 0)
    {
        result.offered_ratio = this->gates[call.dependencies].offered_ratio(call.position.cls);
    }
    result.instance = this->selector.pick(now, request, random, result.why);
    return result;
}

void destination::finish(core::time_point now, instance_id id, attempt_result end, core::duration latency,
                         core::random_source& random)
{
    this->selector.finish(now, id, end, latency, random);
    if (end == attempt_result::answered)
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
