#include "laburnumreach/overload/admission_gate.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumreach::overload
{

namespace
{

/// Additional credit that the last bucket of a class needs, so that the minimum share of a class goes to the
/// customers within their share as long as these use it up.
constexpr double last_bucket_extra_credit = share_guarantee::max_credit - 1.0;

/// Half-life of the counts behind the offered ratio; bounds how long a surge is reported after its end.
constexpr core::duration ratio_half_life = std::chrono::milliseconds{100};

} // namespace

bool admission_gate::minimum_share_due(admission_position position) const noexcept
{
    const double needed = 1.0 + last_bucket_extra_credit * position.bucket / bucket_count;
    return this->guarantee.credit(position.cls) >= needed;
}

bool admission_gate::probe_due(core::time_point now, core::random_source& random)
{
    return now - this->last_admission_despite_level >= probe_interval && random.chance(probe_share);
}

admission_gate::decision admission_gate::admit(core::time_point now, admission_position position,
                                               admission_level service_level, core::random_source& random)
{
    const admission_level level = std::max(service_level, this->dependency_level(now));
    class_counts& own = this->counts[static_cast<std::size_t>(position.cls)];
    const double decay = std::exp2(-std::chrono::duration<double>(now - own.updated) /
                                   std::chrono::duration<double>(ratio_half_life));
    own.updated = now;
    own.offered = own.offered * decay + 1.0;
    own.admitted *= decay;
    const bool within = position.admitted_by(level);
    if (!within && !this->minimum_share_due(position) && !this->probe_due(now, random))
    {
        return decision::refused;
    }
    own.admitted += 1.0;
    this->last_admission_despite_level = within ? this->last_admission_despite_level : now;
    this->guarantee.record_admission(position.cls);
    return within ? decision::admitted : decision::admitted_despite_level;
}

double admission_gate::offered_ratio(core::priority_class cls) const noexcept
{
    const class_counts& own = this->counts[static_cast<std::size_t>(cls)];
    return own.admitted > 0.0 ? std::max(own.offered / own.admitted, 1.0) : 1.0;
}

} // namespace laburnumreach::overload
