#ifndef LABURNUMREACH_QUOTA_TENANT_BUCKET_HPP
#define LABURNUMREACH_QUOTA_TENANT_BUCKET_HPP

#include "laburnumreach/quota/borrowed_loan.hpp"
#include "laburnumreach/quota/loan_request.hpp"
#include "laburnumreach/quota/spend_decision.hpp"
#include "laburnumreach/quota/token_bucket.hpp"

#include <optional>

namespace laburnumreach::quota
{

/// One tenant's loans at one daemon; the hot path of the quota.
///
/// Not thread safe. Traffic threads call try_spend, retry_spend and give_up, the control thread the rest; one
/// lock per tenant around each call is enough (see tenant_account). Read the clock inside the lock and right
/// before the call, so that a thread that was paused while it waited for the lock notices that a loan lapsed.
class tenant_bucket
{
public:
    /// Counts a request as demand and spends one token for it.
    spend_decision try_spend(core::time_point now);

    /// Tries again for a request that waited. Does not count as demand.
    spend_decision retry_spend(core::time_point now);

    /// Ends the wait of a request.
    /// @returns a refusal: rate_exceeded when the lender answered since the tenant fell short,
    /// quota_unavailable
    ///          otherwise
    spend_decision give_up(core::time_point now);

    /// Returns what to tell the lender, or nothing when no message is due.
    std::optional<loan_request_item> report(core::time_point now);

    /// Gives everything back, for a graceful stop.
    std::optional<loan_request_item> release(core::time_point now);

    /// Applies a grant.
    /// @param requested_at when the answered request was sent, on the own clock
    /// @returns whether requests that wait should try again
    bool apply(const lender_epoch& epoch, const loan_grant_item& grant, core::time_point requested_at,
               core::time_point now);

    /// Returns the sum of the valid loans.
    part holdings(core::time_point now);

    /// Returns the demand in micro-tokens per second as last reported.
    std::int64_t demand() const { return static_cast<std::int64_t>(this->demand_estimate); }

private:
    void drop_lapsed(core::time_point now);
    spend_decision spend(core::time_point now);
    bool depleted_one_shot() const;
    void update_demand(core::time_point now);
    loan_request_item make_item(core::time_point now);

    borrowed_loan loan;
    token_bucket bucket;
    // A loan of the lender before, which stays valid for its term after a graceful handover.
    core::time_point previous_valid_until{};
    token_bucket previous_bucket;

    double demand_estimate = 0.0;
    std::int64_t arrivals = 0;
    core::time_point demand_updated{};
    std::int64_t short_requests = 0; // waiting for an answer of the lender
    std::int64_t returning = 0;      // tokens cut off by a shrink, sent with the next request
    core::time_point asked_at{};     // last request to the lender
    core::time_point short_since{};
    core::time_point answered_at{};
    core::time_point denied_until{};
    bool ask_sent = false; // an ask for the present shortage is under way
    bool settle = false;   // tell the lender at once what is given back
    bool one_shot = false;
};

} // namespace laburnumreach::quota

#endif
