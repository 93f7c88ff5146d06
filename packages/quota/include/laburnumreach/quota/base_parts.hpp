#ifndef LABURNUMREACH_QUOTA_BASE_PARTS_HPP
#define LABURNUMREACH_QUOTA_BASE_PARTS_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/quota_revision.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::quota
{

/// Says which base part a zone may use while other zones may still use older revisions of the configuration.
///
/// A revision is in use here until every zone of every revision in use is known to use a newer common one.
/// While all revisions in use have the same zones, the part of the newest revision is used: parts grow with
/// rate and burst for a given list of zones, so the parts of all zones sum to at most the greatest rate and
/// the greatest burst of the revisions in use. While the revisions in use differ in their zones, the smallest
/// part over them is used.
///
/// Guarantee: let v be the greatest revision that any zone knows to be common. v is in use in every zone. The
/// parts of all zones sum to at most the greatest rate and the greatest burst that v or a newer adopted
/// revision names.
class base_parts
{
public:
    /// @param margin_ppm see lender_options::rate_margin_ppm
    base_parts(std::string own_zone, std::int64_t margin_ppm);

    /// Adds the newest revision. An older one or a repetition is ignored.
    /// @returns whether it was added
    bool adopt(std::shared_ptr<const quota_revision> revision);

    /// Adds a revision that an earlier lender of the zone used and of which only the zones are known. To be
    /// called before the first adopt(), in ascending order.
    ///
    /// A lender that has created the record of its zone reads the newest revision after that. If it is not
    /// the first one ever, the zone may be new while others still use its part, or use parts of revisions
    /// that it never saw: it calls this with revision zero and all zones that have a record, as listed after
    /// its own was written.
    void adopt_unknown(revision_zones revision);

    /// Records that the zone record lists the revisions in use up to this one. Only these are announced, so
    /// that a new lender of this zone knows what other zones rely on.
    void recorded(std::uint64_t revision) { this->recorded_revision = revision; }

    /// Records that the loans of this zone fit into the parts in use.
    void settled();

    /// Returns the revisions to announce to the lenders of the other zones.
    std::vector<std::uint64_t> announced() const;

    /// Returns the revisions that the zone record must list.
    std::vector<revision_zones> in_use() const;

    /// Records what another zone announced.
    /// @returns whether the parts may have changed
    bool other_zone_uses(const std::string& other, const std::vector<std::uint64_t>& revisions);

    /// Returns the zone's part of a tenant, without tokens.
    part base_part(std::string_view tenant) const;

    /// Returns the newest revision; null before the first.
    std::shared_ptr<const quota_revision> newest() const;

private:
    struct entry
    {
        std::uint64_t revision = 0;
        std::shared_ptr<const quota_revision> quotas; // without tenants when unknown
    };

    bool advance();
    bool common(const entry& candidate) const;

    std::string zone;
    std::int64_t rate_margin_ppm;
    std::vector<entry> entries; // ascending, from the oldest in use
    std::map<std::string, std::set<std::uint64_t>, std::less<>> others;
    std::uint64_t recorded_revision = 0;
    std::uint64_t settled_revision = 0;
    bool same_zones = true;
};

} // namespace laburnumreach::quota

#endif
