#ifndef LABURNUMREACH_FLEET_TENANT_STATISTICS_HPP
#define LABURNUMREACH_FLEET_TENANT_STATISTICS_HPP

#include <cstdint>

namespace laburnumreach::fleet
{

/// What became of one tenant's requests.
struct tenant_statistics
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t waited = 0; ///< Asked the lender before they were admitted or refused.
    std::uint64_t rate_exceeded = 0;
    std::uint64_t quota_unavailable = 0;
    std::uint64_t naive_admitted = 0;
    std::uint64_t wrongful = 0;      ///< Refused here and admitted by the naive counter.
    std::uint64_t over_admitted = 0; ///< Admitted beyond one bucket of the tenant's rate and burst.

    /// Returns the wrongful refusals as a part of the requests within the rate.
    double wrongful_share() const
    {
        return this->naive_admitted == 0
                   ? 0.0
                   : static_cast<double>(this->wrongful) / static_cast<double>(this->naive_admitted);
    }
};

} // namespace laburnumreach::fleet

#endif
