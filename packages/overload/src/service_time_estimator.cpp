#include "laburnumreach/overload/service_time_estimator.hpp"

#include <cmath>

namespace laburnumreach::overload
{

namespace
{

/// Weight of one observation; about the last 20 calls count.
constexpr double weight = 0.05;

} // namespace

void service_time_estimator::add(core::time_point now, core::duration observed)
{
    const auto value = static_cast<double>(observed.count());
    this->mean = this->mean == 0.0 ? value : this->mean + weight * (value - this->mean);
    this->updated = now;
}

core::duration service_time_estimator::expected(core::time_point now) const
{
    const core::duration age = now - this->updated;
    if (this->mean == 0.0 || age <= half_life)
    {
        return core::duration{static_cast<core::duration::rep>(this->mean)};
    }
    const double halvings = static_cast<double>(age.count()) / static_cast<double>(half_life.count()) - 1.0;
    return core::duration{static_cast<core::duration::rep>(this->mean * std::exp2(-halvings))};
}

} // namespace laburnumreach::overload
