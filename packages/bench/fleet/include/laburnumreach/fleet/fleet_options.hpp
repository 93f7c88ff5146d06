#ifndef LABURNUMREACH_FLEET_FLEET_OPTIONS_HPP
#define LABURNUMREACH_FLEET_FLEET_OPTIONS_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/promise.hpp"
#include "laburnumreach/quota/quota_revision.hpp"

#include <cstdint>

namespace laburnumreach::fleet
{

/// Faults of the network and the clocks. The rest of the faults are caused by calls of fleet_model.
struct fault_options
{
    double loss = 0.0;              ///< Probability that a message is lost.
    double repetition = 0.0;        ///< Probability that a message arrives twice.
    double late = 0.0;              ///< Probability that a message is late.
    core::duration longest_late{0}; ///< Longest delay of a late message.
    std::int64_t clock_ppm = 0;     ///< Clocks run at a rate within this of real time.
};

/// Settings of a fleet_model.
struct fleet_options
{
    std::uint64_t seed = 1;
    int zones = 3;
    int daemons_per_zone = 4;
    core::duration hop_in_zone = std::chrono::microseconds{300};        ///< One way.
    core::duration hop_between_zones = std::chrono::microseconds{1500}; ///< One way.
    core::duration platform_hop = std::chrono::milliseconds{2};
    core::duration tick = std::chrono::milliseconds{20}; ///< Interval of the daemons' polls.
    fault_options faults;
    std::int64_t rate_margin_ppm = 500;
    quota::authority_terms authority;
    quota::quota_revision quotas; ///< The zones are filled in.
    bool check = true;            ///< Checks the invariants after each step.
    bool start_full = true;       ///< The first lenders start with full buckets.
    bool measure = false;         ///< Measures bytes of messages and processor time.
};

} // namespace laburnumreach::fleet

#endif
