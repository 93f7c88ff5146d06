#ifndef LABURNUMREACH_QUOTA_QUOTA_REVISION_HPP
#define LABURNUMREACH_QUOTA_QUOTA_REVISION_HPP

#include "laburnumreach/quota/part.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::quota
{

/// A tenant's quota over the whole fleet.
struct tenant_quota
{
    std::int64_t rate = 0;  ///< Micro-tokens per second.
    std::int64_t burst = 0; ///< Micro-tokens.

    friend bool operator==(const tenant_quota&, const tenant_quota&) = default;
};

/// The zones of one revision of the configuration.
struct revision_zones
{
    std::uint64_t revision = 0;
    std::vector<std::string> zones;

    friend bool operator==(const revision_zones&, const revision_zones&) = default;
};

/// The quotas of one revision of the configuration.
struct quota_revision
{
    std::uint64_t revision = 0;
    std::vector<std::string> zones;
    std::map<std::string, tenant_quota, std::less<>> tenants;

    /// Returns the base part of a zone, without tokens.
    ///
    /// The rate is split equally. The burst is split into whole tokens, since a capacity below one token is
    /// useless; the zones that get one token more are picked by a hash of tenant and zone. For a given list
    /// of zones, the part of each zone never falls when rate or burst grows.
    /// @param rate_margin_ppm taken off the rate, for clocks that run fast
    part base_part(std::string_view tenant, std::string_view zone, std::int64_t rate_margin_ppm) const;

    /// Returns the zone that borrows all parts of a tenant whose burst is too small to serve from several
    /// zones; empty for other tenants. Only a matter of distribution: the zones may disagree on it without
    /// harm.
    std::string_view pooling_zone(std::string_view tenant) const;
};

} // namespace laburnumreach::quota

#endif
