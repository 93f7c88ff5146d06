#include "laburnumreach/overload/share_guarantee.hpp"

#include <algorithm>

namespace laburnumreach::overload
{

void share_guarantee::record_admission(core::priority_class cls) noexcept
{
    for (std::size_t i = 0; i < this->credits.size(); ++i)
    {
        this->credits[i] = std::min(this->credits[i] + this->shares[i], max_credit);
    }
    double& own = this->credits[static_cast<std::size_t>(cls)];
    own = std::max(own - 1.0, 0.0);
}

} // namespace laburnumreach::overload
