#include "laburnumreach/overload/admission_gate.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

namespace
{

/// Additional credit that the last bucket of a class needs, so that the minimum share of a class goes to the
/// tenants within their share as long as these use it up.
constexpr double last_bucket_credit = share_guarantee::max_credit - 1.0;

} // namespace

bool admission_gate::owed_minimum_share(admission_position position) const noexcept
{
    const double needed = 1.0 + last_bucket_credit * position.bucket / bucket_count;
    return this->guarantee.credit(position.cls) >= needed;
}

bool admission_gate::probe_due(core::time_point now, core::random_source& random)
{
    if (now - this->last_probe < probe_interval || !random.chance(probe_share))
    {
        return false;
    }
    this->last_probe = now;
    return true;
}

admission_gate::decision admission_gate::admit(core::time_point now, admission_position position,
                                               admission_level service_level, core::random_source& random)
{
    const admission_level level = std::max(service_level, this->dependency_level(now));
    const bool within = position.admitted_by(level);
    if (!within && !this->owed_minimum_share(position) && !this->probe_due(now, random))
    {
        return decision::refused;
    }
    this->guarantee.admitted(position.cls);
    return within ? decision::admitted : decision::admitted_over_level;
}

} // namespace laburnumreach::overload
