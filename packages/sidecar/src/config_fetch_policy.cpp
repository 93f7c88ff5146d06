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
    if (this->newest_version <= known_version)
    {
        this->newer_since = now;
    }
    this->newest_version = std::max(this->newest_version, peer_version);
    if (this->last_request && now - *this->last_request < request_timeout)
    {
        return false;
    }
    // Without a configuration no request can be served, so it is fetched from the first peer that has one.
    if (!same_zone && known_version > 0 && now - this->newer_since < other_zone_delay)
    {
        return false;
    }
    this->last_request = now;
    return true;
}

} // namespace laburnumreach::sidecar
