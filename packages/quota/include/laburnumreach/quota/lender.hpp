#ifndef LABURNUMREACH_QUOTA_LENDER_HPP
#define LABURNUMREACH_QUOTA_LENDER_HPP

#include "laburnumreach/quota/base_parts.hpp"
#include "laburnumreach/quota/handover.hpp"
#include "laburnumreach/quota/loan_grant.hpp"
#include "laburnumreach/quota/request_log.hpp"
#include "laburnumreach/quota/tenant_pool.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnumreach::quota
{

/// Settings of a lender.
struct lender_options
{
    std::string zone;
    daemon_ref self;
    lender_epoch epoch;
    /// All loans of the epoch before have lapsed. See takeover_wait().
    core::time_point start_after{};
    lending_terms terms;
    /// Taken off every rate. 500 ppm is the greatest frequency correction that system clocks apply. Rates
    /// hold exactly while no clock runs faster than this.
    std::int64_t rate_margin_ppm = 500;
    /// Starts with full buckets. Only right for a zone that never had a lender, which the first version of
    /// its record proves.
    bool start_full = false;
};

/// Lends a zone's base parts to its daemons and, where they can spare them, to the lenders of other zones,
/// and borrows from these. One thread makes all calls.
///
/// Acts only while it has authority: from start_after on and before the time given to set_authority().
class lender
{
public:
    /// Messages to send.
    struct output
    {
        std::vector<loan_grant> grants;     ///< Addressed by receiver.
        std::vector<loan_request> requests; ///< To the lender of lender_zone.
    };

    lender(lender_options settings, core::time_point now);

    /// Continues after a graceful handover: with the tokens left, and with the loans of the earlier lender
    /// counted as lent until they have lapsed.
    lender(lender_options settings, const handover& from, core::time_point now);

    /// Sets the end of the authority; see lender_authority.
    void set_authority(core::time_point valid_until) { this->authority_until = valid_until; }

    /// Returns whether the lender may act.
    bool has_authority(core::time_point now) const;

    /// Adopts a revision of the configuration.
    void configure(std::shared_ptr<const quota_revision> revision, core::time_point now);

    /// Adds a revision that the zone record lists and whose quotas are not known; see
    /// base_parts::adopt_unknown.
    void adopt_unknown(revision_zones revision) { this->parts.adopt_unknown(std::move(revision)); }

    /// Records that the zone record lists the revisions in use up to this one.
    void recorded(std::uint64_t revision) { this->parts.recorded(revision); }

    /// Returns the revisions that the zone record must list.
    std::vector<revision_zones> revisions_in_use() const { return this->parts.in_use(); }

    /// Answers a request of a daemon or of another zone's lender.
    output receive(const loan_request& request, core::time_point now);

    /// Applies an answer of another zone's lender.
    output receive(const loan_grant& grant, core::time_point now);

    /// Does what is due. Call every 10 to 50 ms.
    output poll(core::time_point now);

    /// Stops for good and returns what to pass on.
    /// @param successor see lender_authority::handover_target()
    /// @returns nothing without authority
    std::optional<handover> stop(const daemon_ref& successor, core::time_point now);

    /// Returns the pool of a tenant, or null. For audits and metrics.
    tenant_pool* find_pool(std::string_view tenant);

private:
    void update_bases(core::time_point now);
    void serve_waiting(const std::string& tenant, tenant_pool& pool, output& out, core::time_point now);
    void ask_zones(const std::vector<std::string>& tenants, bool announce, output& out, core::time_point now);
    loan_grant make_grant(const borrower_key& receiver, std::uint64_t number) const;

    lender_options options;
    base_parts parts;
    core::time_point authority_until{};
    core::time_point next_announcement{};
    std::uint64_t next_loan_id = 1;
    bool stopped = false;
    std::map<std::string, tenant_pool, std::less<>> pools;
    std::map<std::string, request_log, std::less<>> requests;
};

} // namespace laburnumreach::quota

#endif
