#ifndef LABURNUMREACH_OVERLOAD_NAIVE_DESTINATION_HPP
#define LABURNUMREACH_OVERLOAD_NAIVE_DESTINATION_HPP

#include "laburnumreach/overload/destination.hpp"

#include <cstddef>
#include <vector>

namespace laburnumreach::overload
{

/// For comparison in tests and benchmarks: round robin over all instances that are not draining, without
/// admission gates, ejection or warm-up.
class naive_destination
{
public:
    void set_instance(core::time_point now, const instance_info& info);
    routing_decision choose(core::time_point now, const outgoing_call& call, core::random_source& random);
    void finish(core::time_point /*now*/, instance_id /*id*/, attempt_result /*end*/,
                core::duration /*latency*/, core::random_source& /*random*/)
    {
    }
    void record(core::time_point /*now*/, instance_id /*id*/, dependency_set_id /*dependencies*/,
                const load_feedback& /*feedback*/)
    {
    }
    admission_level level(core::time_point /*now*/, dependency_set_id /*dependencies*/) const { return 0; }

private:
    std::vector<instance_info> instances;
    std::size_t next = 0;
};

} // namespace laburnumreach::overload

#endif
