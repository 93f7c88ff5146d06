#include "laburnumreach/overload/decaying_level.hpp"

#include <cmath>

namespace laburnumreach::overload
{

admission_level decaying_level::value(core::time_point now) const noexcept
{
    const core::duration age = now - this->received;
    if (this->level == 0 || age <= hold_time)
    {
        return this->level;
    }
    const double halvings =
        std::chrono::duration<double>(age - hold_time) / std::chrono::duration<double>(half_life);
    return static_cast<admission_level>(std::exp2(-halvings) * this->level);
}

} // namespace laburnumreach::overload
