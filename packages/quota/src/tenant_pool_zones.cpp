// The side of a tenant_pool that borrows from other zones.

#include "laburnumreach/quota/tenant_pool.hpp"

#include <algorithm>
#include <limits>

namespace laburnumreach::quota
{

namespace
{

/// A zone wants this multiple of its daemons' demand.
constexpr double wanted_headroom = 1.2;
/// Surplus below this part of the need is kept, so that a steady demand causes no back and forth.
constexpr double surplus_kept = 0.15;
/// A shortage of rate is reported this soon after the last request; tokens that requests wait for at once.
constexpr core::duration rate_ask_interval = std::chrono::milliseconds{100};
/// A zone that did not answer within this time is not asked for tokens that requests wait for.
constexpr core::duration answer_expected_within = std::chrono::milliseconds{30};
/// A request that was not answered is repeated after this time while requests wait.
constexpr core::duration shortest_ask_interval = std::chrono::milliseconds{10};
constexpr core::duration unreachable_for = std::chrono::milliseconds{500};
/// The home zone keeps the pooled parts this long after the last request of a borrower.
constexpr core::duration pool_active_for = std::chrono::seconds{3};
/// Renewals of a loan per term. Between zones a lost renewal costs more, since the term is used up sooner.
constexpr int renewals_per_term = 6;

} // namespace

void tenant_pool::give_back(zone_loan& from, core::time_point now)
{
    part surplus = from.held;
    surplus.tokens = surplus.capacity;
    const part returned = this->bucket.split(surplus, now);
    from.held.rate -= returned.rate;
    from.held.capacity -= returned.capacity;
    from.returning += returned.tokens;
}

bool tenant_pool::pool_active(core::time_point now) const
{
    return std::any_of(this->debtors.begin(), this->debtors.end(),
                       [now](const auto& entry) { return now - entry.second.demand_at < pool_active_for; });
}

std::int64_t tenant_pool::needed_rate(core::time_point now) const
{
    if (this->pooled != pooling::none)
    {
        // The home zone takes whatever the others have; they borrow single tokens only.
        return this->pooled == pooling::home && this->pool_active(now)
                   ? std::numeric_limits<std::int64_t>::max()
                   : 0;
    }
    const bool can_spend = this->own_share.capacity >= micro_tokens_per_token;
    return static_cast<std::int64_t>(static_cast<double>(this->demand_now) *
                                     (can_spend ? wanted_headroom : 1.0));
}

std::int64_t tenant_pool::rate_gap(std::int64_t need) const
{
    if (this->pooled != pooling::none)
    {
        return 0; // the home zone asks at each renewal
    }
    const std::int64_t gap = need - this->total().rate;
    return gap >= 0 ? gap
                    : std::min<std::int64_t>(
                          0, gap + static_cast<std::int64_t>(static_cast<double>(need) * surplus_kept));
}

std::int64_t tenant_pool::demand_on_zone(const zone_loan& from, std::int64_t need, std::int64_t gap) const
{
    if (this->pooled == pooling::member)
    {
        return this->demand_now;
    }
    const auto zones = static_cast<std::int64_t>(this->inbound.size());
    return need <= this->own_share.rate ? 0 : std::max<std::int64_t>(0, from.held.rate + gap / zones);
}

std::optional<loan_request_item> tenant_pool::ask_zone(const std::string& zone, core::time_point now)
{
    const auto found = this->inbound.find(zone);
    if (found == this->inbound.end())
    {
        return std::nullopt;
    }
    zone_loan& from = found->second;
    const core::duration since_ask = now - from.asked_at;
    if (!from.answered && since_ask >= answer_expected_within &&
        from.denied_until < from.asked_at + unreachable_for)
    {
        from.denied_until = from.asked_at + unreachable_for;
    }
    const auto zones = static_cast<std::int64_t>(this->pooled == pooling::none ? this->inbound.size() : 1);
    const std::int64_t need = this->needed_rate(now);
    const std::int64_t gap = this->rate_gap(need);
    const bool may_ask = this->pooled == pooling::none || zone == this->home_zone;
    const std::int64_t unmet = may_ask && now >= from.denied_until ? this->unmet_now : 0;
    const bool urgent = unmet > 0 && (from.answered || since_ask >= shortest_ask_interval);
    const bool short_of_rate = gap > 0 && since_ask >= rate_ask_interval && now >= from.denied_until;
    const bool holds = from.held != part{} ||
                       (from.loan.valid(now) && from.settled_seq != from.loan.applied_seq) ||
                       (this->pooled == pooling::home && this->pool_active(now));
    const bool due = holds && since_ask >= this->terms.loan_term / renewals_per_term;
    const bool unused = this->pooled == pooling::member && from.held != part{} && unmet == 0 &&
                        this->bucket.contents().capacity > 0;
    if (!urgent && !short_of_rate && !due && !unused)
    {
        return std::nullopt;
    }
    // Loans that no longer fit are shrinking; a grant is acknowledged, and something given back, once they
    // fit.
    const bool fits = !this->in_excess(now);
    std::int64_t held_rate = std::numeric_limits<std::int64_t>::max();
    std::int64_t held_capacity = std::numeric_limits<std::int64_t>::max();
    if (fits)
    {
        from.settled_seq = from.loan.applied_seq;
        if (need <= this->own_share.rate && unmet == 0 && from.held != part{})
        {
            this->give_back(from, now);
        }
        held_rate = from.held.rate;
        held_capacity = from.held.capacity;
    }
    loan_request_item item{.tenant = {},
                           .epoch = from.loan.epoch,
                           .loan_id = from.loan.id,
                           .applied_seq = from.settled_seq,
                           .held_rate = held_rate,
                           .held_capacity = held_capacity,
                           .held_tokens = 0,
                           .returned_tokens = fits ? from.returning : 0,
                           .demand = this->demand_on_zone(from, need, gap),
                           .wanted_tokens = 0};
    const std::int64_t tokens_each =
        (unmet + zones * micro_tokens_per_token - 1) / (zones * micro_tokens_per_token);
    item.wanted_tokens = tokens_each * micro_tokens_per_token;
    from.returning = fits ? 0 : from.returning;
    from.asked_at = now;
    from.answered = false;
    return item;
}

void tenant_pool::apply_zone(const std::string& zone, const lender_epoch& epoch, const loan_grant_item& grant,
                             core::time_point requested_at, core::time_point now)
{
    this->refresh(now);
    const auto found = this->inbound.find(zone);
    if (found == this->inbound.end() || !found->second.loan.accepts(epoch, grant, requested_at, now))
    {
        return;
    }
    zone_loan& from = found->second;
    if (!from.loan.same_loan(epoch, grant))
    {
        from.settled_seq = 0;
        from.returning = 0;
    }
    from.loan.record(epoch, grant, requested_at);
    from.answered = true;
    from.denied_until = now + grant.denied_for;
    if (this->cut_time(from) <= now)
    {
        return; // too late to lend it on
    }
    const std::int64_t tokens_before = this->bucket.contents().tokens;
    from.held = {.rate = grant.rate, .capacity = grant.capacity, .tokens = 0};
    this->resize_at(now);
    from.returning += tokens_before - this->bucket.contents().tokens;
    from.returning += this->bucket.add_tokens(grant.tokens);
}

} // namespace laburnumreach::quota
