#include "laburnumreach/sidecar/config_fetch_policy.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

bool config_fetch_policy::should_request(std::uint64_t known_version, std::uint64_t peer_version,
                                         bool same_zone, core::time_point now)
{
    if (peer_version <= known_version)
    {
        return false;
    }
    if (this->newest_told <= known_version)
    {
        this->told_since = now;
    }
    this->newest_told = std::max(this->newest_told, peer_version);
    if (this->asked && now - *this->asked < request_limit)
    {
        return false;
    }
    // Without any configuration nothing can be served, so any peer will do.
    if (!same_zone && known_version > 0 && now - this->told_since < other_zone_delay)
    {
        return false;
    }
    this->asked = now;
    return true;
}

} // namespace laburnumreach::sidecar
