#ifndef LABURNUMREACH_QUOTA_HANDOVER_HPP
#define LABURNUMREACH_QUOTA_HANDOVER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/daemon_ref.hpp"
#include "laburnumreach/quota/lender_epoch.hpp"
#include "laburnumreach/quota/part.hpp"
#include "laburnumreach/quota/quota_revision.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumreach::quota
{

/// Totals of one tenant at a lender that hands over.
struct handover_tenant
{
    part base;   ///< The zone's own share; lent may exceed it by what the sender borrowed from other zones.
    part unlent; ///< Left at the lender, with its tokens.
    part lent;   ///< Held by borrowers; returns without tokens when their loans lapse.

    friend bool operator==(const handover_tenant&, const handover_tenant&) = default;
};

/// Passes a lender's authority and totals to the successor. The sender has stopped for good.
struct handover
{
    std::string zone;
    lender_epoch epoch; ///< Epoch of the sender; the receiver lends under the next handover number.
    daemon_ref from;
    daemon_ref to;
    /// The receiver's answer from which authority_lasts counts.
    std::uint64_t promise_number = 0;
    /// How long no other daemon may take over, from when that answer arrived; duration::max() without a
    /// limit.
    core::duration authority_lasts = core::duration::max();
    core::duration loans_lapse_after{0};   ///< On the sender's clock, from when it stopped.
    std::vector<revision_zones> revisions; ///< In use at the sender.
    std::map<std::string, handover_tenant, std::less<>> tenants;

    friend bool operator==(const handover&, const handover&) = default;
};

} // namespace laburnumreach::quota

#endif
