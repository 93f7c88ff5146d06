#include "laburnumreach/quota/tenant_bucket.hpp"

#include "laburnumreach/quota/lending_terms.hpp"

#include <algorithm>
#include <cmath>

namespace laburnumreach::quota
{

namespace
{

/// Time constant of the demand estimate.
constexpr double demand_time_constant_s = 1.0;
/// An ask without an answer is repeated after this time; a request waits up to 30 ms, so two messages may be
/// lost.
constexpr core::duration repeat_ask_after = std::chrono::milliseconds{10};
/// Below this demand (micro-tokens per second) and without a loan there is nothing to report.
constexpr double negligible_demand = 10'000.0;
/// What a shrink frees is reported this soon after the last request. Without a limit, a bucket that accrues
/// while a grant is on its way overflows and is answered at once, again and again.
constexpr core::duration settle_interval = std::chrono::milliseconds{50};
/// An answer this old still tells that the lender is there.
constexpr core::duration answer_fresh_for = std::chrono::milliseconds{500};

} // namespace

void tenant_bucket::drop_lapsed(core::time_point now)
{
    if (now >= this->previous_valid_until)
    {
        this->previous_bucket = {};
    }
    if (this->loan.id != 0 && !this->loan.valid(now))
    {
        this->bucket = {};
        this->returning = 0;
        this->one_shot = false;
    }
}

spend_decision tenant_bucket::try_spend(core::time_point now)
{
    ++this->arrivals;
    spend_decision decision = this->spend(now);
    if (decision.result == spend_result::wait)
    {
        decision.notify = this->short_requests == 0 || !this->ask_sent;
        if (this->short_requests == 0)
        {
            this->short_since = now;
        }
        ++this->short_requests;
    }
    return decision;
}

spend_decision tenant_bucket::retry_spend(core::time_point now)
{
    const spend_decision decision = this->spend(now);
    if (decision.result != spend_result::wait)
    {
        this->short_requests = std::max<std::int64_t>(0, this->short_requests - 1);
    }
    return decision;
}

spend_decision tenant_bucket::give_up(core::time_point now)
{
    this->short_requests = std::max<std::int64_t>(0, this->short_requests - 1);
    const bool answered =
        this->answered_at >= this->short_since && now - this->answered_at < answer_fresh_for;
    return {.result = spend_result::refused,
            .why = answered ? core::reason::rate_exceeded : core::reason::quota_unavailable,
            .retry_after = std::max(core::duration::zero(), this->denied_until - now),
            .notify = false};
}

spend_decision tenant_bucket::spend(core::time_point now)
{
    this->drop_lapsed(now);
    if (this->previous_bucket.try_spend(now))
    {
        return {.result = spend_result::spent};
    }
    if (this->bucket.try_spend(now))
    {
        return {.result = spend_result::spent, .notify = this->depleted_one_shot()};
    }
    if (now < this->denied_until)
    {
        return {.result = spend_result::refused,
                .why = core::reason::rate_exceeded,
                .retry_after = this->denied_until - now};
    }
    return {.result = spend_result::wait};
}

bool tenant_bucket::depleted_one_shot() const
{
    return this->one_shot && this->bucket.contents().tokens < micro_tokens_per_token;
}

void tenant_bucket::update_demand(core::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - this->demand_updated).count();
    const double arrived = static_cast<double>(this->arrivals * micro_tokens_per_token);
    this->arrivals = 0;
    if (elapsed <= 0.0)
    {
        this->demand_estimate += arrived / demand_time_constant_s;
        return;
    }
    this->demand_updated = now;
    const double weight = 1.0 - std::exp(-elapsed / demand_time_constant_s);
    this->demand_estimate += (arrived / elapsed - this->demand_estimate) * weight;
}

loan_request_item tenant_bucket::make_item(core::time_point now)
{
    this->update_demand(now);
    const part& held = this->bucket.contents();
    loan_request_item item{.tenant = {},
                           .epoch = this->loan.epoch,
                           .loan_id = this->loan.id,
                           .applied_seq = this->loan.applied_seq,
                           .held_rate = held.rate,
                           .held_capacity = held.capacity,
                           .held_tokens = held.tokens,
                           .returned_tokens = this->returning,
                           .demand = this->demand(),
                           .wanted_tokens = this->short_requests * micro_tokens_per_token};
    this->returning = 0;
    this->settle = false;
    this->asked_at = now;
    this->ask_sent = this->short_requests > 0;
    return item;
}

std::optional<loan_request_item> tenant_bucket::report(core::time_point now)
{
    this->drop_lapsed(now);
    this->bucket.accrue(now);
    const bool holding = this->bucket.contents().capacity > 0;
    bool settle_now = this->settle && now - this->asked_at >= settle_interval;
    if (this->depleted_one_shot() && holding)
    {
        this->returning += this->bucket.contents().tokens;
        this->bucket = {};
        this->settle = true;
        settle_now = true;
    }
    const bool shortage = this->short_requests > 0 && now >= this->denied_until &&
                          (!this->ask_sent || now - this->asked_at >= repeat_ask_after);
    const core::duration since_ask = now - this->asked_at;
    const core::duration term =
        this->loan.term > core::duration::zero() ? this->loan.term : lending_terms{}.loan_term;
    const bool active = holding || this->arrivals > 0 || this->demand_estimate >= negligible_demand;
    if (!shortage && !settle_now && !(active && since_ask >= term / 3))
    {
        return std::nullopt;
    }
    return this->make_item(now);
}

std::optional<loan_request_item> tenant_bucket::release(core::time_point now)
{
    this->drop_lapsed(now);
    this->bucket.accrue(now);
    if (this->bucket.contents().capacity == 0)
    {
        return std::nullopt;
    }
    this->returning += this->bucket.contents().tokens;
    this->bucket = {};
    this->demand_estimate = 0.0;
    this->arrivals = 0;
    return this->make_item(now);
}

bool tenant_bucket::apply(const lender_epoch& epoch, const loan_grant_item& grant,
                          core::time_point requested_at, core::time_point now)
{
    this->drop_lapsed(now);
    if (!this->loan.accepts(epoch, grant, requested_at, now))
    {
        return false;
    }
    if (!this->loan.same_loan(epoch, grant))
    {
        if (this->loan.epoch != epoch && this->loan.valid(now))
        {
            this->previous_bucket = this->bucket;
            this->previous_valid_until = this->loan.valid_until;
        }
        this->bucket = {};
        this->returning = 0;
    }
    const bool shrunk = this->bucket.contents().capacity - grant.capacity >= micro_tokens_per_token ||
                        this->bucket.contents().rate - grant.rate >= micro_tokens_per_token;
    this->returning += this->bucket.resize(grant.rate, grant.capacity, now);
    this->returning += this->bucket.add_tokens(grant.tokens);
    this->loan.record(epoch, grant, requested_at);
    this->one_shot = grant.one_shot;
    // Tokens that overflow a full bucket go back with the next report. Sent at once, the lender would fill
    // the bucket again, which it accrues by itself: at 1,000 tokens/s that is a message every few
    // milliseconds.
    this->settle = this->settle || shrunk;
    this->answered_at = now;
    // An answer without tokens and without a denial means that the lender still asks other zones.
    this->ask_sent = this->ask_sent && grant.tokens == 0 && grant.denied_for == core::duration::zero();
    this->denied_until = now + grant.denied_for;
    return this->short_requests > 0;
}

part tenant_bucket::holdings(core::time_point now)
{
    this->drop_lapsed(now);
    this->bucket.accrue(now);
    this->previous_bucket.accrue(now);
    return this->bucket.contents() + this->previous_bucket.contents();
}

} // namespace laburnumreach::quota
