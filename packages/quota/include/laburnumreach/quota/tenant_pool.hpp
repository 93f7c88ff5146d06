#ifndef LABURNUMREACH_QUOTA_TENANT_POOL_HPP
#define LABURNUMREACH_QUOTA_TENANT_POOL_HPP

#include "laburnumreach/quota/allocation.hpp"
#include "laburnumreach/quota/daemon_ref.hpp"
#include "laburnumreach/quota/lending_terms.hpp"
#include "laburnumreach/quota/lent_loan.hpp"
#include "laburnumreach/quota/loan_request.hpp"
#include "laburnumreach/quota/token_bucket.hpp"
#include "laburnumreach/quota/zone_loan.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::quota
{

/// Identifies a borrower at a lender.
struct borrower_key
{
    bool lender = false;
    std::string zone;
    daemon_ref daemon;
    lender_epoch epoch; ///< Zero for a daemon.

    // NOLINTNEXTLINE(modernize-use-nullptr): false report for a defaulted comparison
    friend auto operator<=>(const borrower_key&, const borrower_key&) = default;
};

/// One tenant's part of a zone: what the zone owns and borrows, what of it is lent and what is left.
class tenant_pool
{
public:
    tenant_pool(const lending_terms& settings, core::time_point now);

    /// Sets the other zones that may be asked.
    /// @param home the zone that pools the tenant's parts, if it is one of the others
    void set_other_zones(const std::vector<std::string>& zones, pooling role, std::string_view home);

    /// Changes the zone's own share. Lowering it takes effect on what is left at once and on loans when they
    /// are renewed or lapse.
    void set_base(const part& share, core::time_point now);

    /// Adds tokens as far as there is room.
    void fill(std::int64_t tokens);

    /// Counts a share as lent until a time, for the loans of a lender that handed over.
    void inherit(const part& lent, core::time_point until, core::time_point now);

    /// Answers a borrower.
    /// @param number number of the request; one that is not newer than the last is not answered
    /// @param next_loan_id used and raised when a loan starts
    std::optional<loan_grant_item> serve(const borrower_key& borrower, const lender_epoch& own_epoch,
                                         const loan_request_item& item, std::uint64_t number,
                                         std::uint64_t& next_loan_id, core::time_point now);

    /// A second answer to a borrower whose request could not be met at first.
    struct late_answer
    {
        borrower_key borrower;
        std::uint64_t number = 0;
        loan_grant_item grant;
    };

    /// Serves the borrowers that still wait, as far as possible.
    std::vector<late_answer> serve_waiting(core::time_point now);

    /// Returns what to ask of another zone's lender, if anything. To be called after serve_waiting() at the
    /// same time.
    std::optional<loan_request_item> ask_zone(const std::string& zone, core::time_point now);

    /// Applies an answer of another zone's lender.
    void apply_zone(const std::string& zone, const lender_epoch& epoch, const loan_grant_item& grant,
                    core::time_point requested_at, core::time_point now);

    /// Returns whether the loans exceed the zone's share, which is so after the share was lowered.
    bool in_excess(core::time_point now);

    /// Returns what is left at the lender.
    part unlent(core::time_point now);

    /// Returns the most that borrowers may hold.
    part lent(core::time_point now);

    /// Returns the zone's own share.
    const part& base() const { return this->own_share; }

    /// Returns when the last loan lapses; now when there is none.
    core::time_point last_lapse(core::time_point now) const;

    /// Returns whether the pool can be forgotten.
    bool idle(core::time_point now);

private:
    struct debtor
    {
        lent_loan loan;
        std::uint64_t last_request = 0;
        std::int64_t demand = 0;
        core::time_point demand_at{};
        std::int64_t held_tokens = 0;
        std::int64_t wanted = 0; // not yet met
        core::time_point wanted_at{};
    };

    void refresh(core::time_point now);
    void resize_at(core::time_point time);
    core::time_point cut_time(const zone_loan& from) const;
    core::duration term_for(const borrower_key& borrower) const;
    core::duration denial(core::time_point now) const;
    std::int64_t needed_rate(core::time_point now) const;
    std::int64_t rate_gap(std::int64_t need) const;
    std::int64_t demand_on_zone(const zone_loan& from, std::int64_t need, std::int64_t gap) const;
    bool pool_active(core::time_point now) const;
    part total() const;
    part excess(core::time_point now) const;
    bool may_be_lent_more(core::time_point now) const;
    loan_grant_item grant_to(const borrower_key& borrower, debtor& account, core::time_point now);
    void give_back(zone_loan& from, core::time_point now);
    std::int64_t daemon_demand(core::time_point now) const;
    std::int64_t unmet_tokens(core::time_point now) const;

    lending_terms terms;
    pooling pooled = pooling::none;
    std::string home_zone;
    part own_share;
    part outstanding;            // sum over debtors and inherited loans
    token_bucket bucket;         // what is left
    std::int64_t demand_now = 0; // of the daemons, at the last serve_waiting()
    std::int64_t unmet_now = 0;  // tokens that daemons wait for, at the last serve_waiting()
    part inherited;
    core::time_point inherited_until{};
    std::map<borrower_key, debtor> debtors;
    std::map<std::string, zone_loan, std::less<>> inbound;
};

} // namespace laburnumreach::quota

#endif
