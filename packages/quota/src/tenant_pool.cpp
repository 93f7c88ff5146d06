#include "laburnumreach/quota/tenant_pool.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnumreach::quota
{

namespace
{

/// A request waits up to 30 ms for tokens; later ones are of no use to it.
constexpr core::duration longest_wait = std::chrono::milliseconds{30};
/// Bounds of the advice when to ask again. The lower one bounds the asks of a daemon whose tenant exceeds its
/// rate.
constexpr core::duration shortest_denial = std::chrono::milliseconds{10};
constexpr core::duration longest_denial = std::chrono::milliseconds{250};
/// A demand that was not reported for this long counts no more.
constexpr core::duration demand_valid_for = std::chrono::seconds{3};

} // namespace

tenant_pool::tenant_pool(const lending_terms& settings, core::time_point now)
    : terms(settings), bucket({}, now)
{
}

void tenant_pool::set_other_zones(const std::vector<std::string>& zones, pooling role, std::string_view home)
{
    this->pooled = role;
    this->home_zone = home;
    for (const std::string& zone : zones)
    {
        this->inbound.try_emplace(zone);
    }
    std::erase_if(this->inbound,
                  [&zones](const auto& entry) {
                      return entry.second.held == part{} &&
                             std::find(zones.begin(), zones.end(), entry.first) == zones.end();
                  });
}

void tenant_pool::set_base(const part& share, core::time_point now)
{
    this->refresh(now);
    this->own_share = share;
    this->own_share.tokens = 0;
    this->resize_at(now);
}

void tenant_pool::fill(std::int64_t tokens)
{
    this->bucket.add_tokens(tokens);
}

void tenant_pool::inherit(const part& lent, core::time_point until, core::time_point now)
{
    this->inherited = lent;
    this->inherited_until = until;
    this->refresh(now);
}

core::time_point tenant_pool::cut_time(const zone_loan& from) const
{
    return from.loan.valid_until - safe_lapse(this->terms.term_below(from.loan.term), this->terms.grace);
}

core::duration tenant_pool::term_for(const borrower_key& borrower) const
{
    core::duration term = this->terms.loan_term;
    if (borrower.lender && this->pooled != pooling::home)
    {
        return term; // made of the own share alone
    }
    for (const auto& [zone, from] : this->inbound)
    {
        if (from.held != part{})
        {
            term = std::min(term, this->terms.term_below(from.loan.term));
        }
    }
    return term;
}

part tenant_pool::total() const
{
    part sum = this->own_share;
    for (const auto& [zone, from] : this->inbound)
    {
        sum += from.held;
    }
    return sum;
}

void tenant_pool::resize_at(core::time_point time)
{
    part lent_now = this->inherited;
    for (const auto& [borrower, account] : this->debtors)
    {
        lent_now += account.loan.outstanding_after(time);
    }
    lent_now.tokens = 0;
    this->outstanding = lent_now;
    const part left = component_max(this->total() - lent_now, part{});
    this->bucket.resize(left.rate, left.capacity, time);
}

void tenant_pool::refresh(core::time_point now)
{
    // What was borrowed from another zone is given up while the loans made of it can still lapse in time. A
    // late call accounts for the time up to then with it and for the time after without it.
    for (;;)
    {
        zone_loan* first = nullptr;
        for (auto& [zone, from] : this->inbound)
        {
            const bool due = from.held != part{} && this->cut_time(from) <= now;
            if (due && (first == nullptr || this->cut_time(from) < this->cut_time(*first)))
            {
                first = &from;
            }
        }
        if (first == nullptr)
        {
            break;
        }
        first->held = {};
        first->returning = 0;
        this->resize_at(this->cut_time(*first));
    }
    if (this->inherited_until <= now)
    {
        this->inherited = {};
    }
    for (auto& [borrower, account] : this->debtors)
    {
        account.loan.drop_lapsed(now);
    }
    std::erase_if(this->debtors, [now](const auto& entry)
                  { return entry.second.loan.empty() && now - entry.second.demand_at > demand_valid_for; });
    this->resize_at(now);
}

part tenant_pool::excess(core::time_point now) const
{
    // Loans that lapse before anything borrowed need not shrink.
    const core::time_point horizon = now + safe_lapse(this->terms.short_loan_term, this->terms.grace);
    part committed = this->inherited;
    for (const auto& [borrower, account] : this->debtors)
    {
        committed += account.loan.outstanding_after(horizon);
    }
    committed.tokens = 0;
    return component_max(committed - this->total(), part{});
}

std::int64_t tenant_pool::daemon_demand(core::time_point now) const
{
    std::int64_t sum = 0;
    for (const auto& [borrower, account] : this->debtors)
    {
        // The home zone of a pooled tenant serves the daemons of all zones.
        const bool counts = !borrower.lender || this->pooled == pooling::home;
        sum += counts && now - account.demand_at <= demand_valid_for ? account.demand : 0;
    }
    return sum;
}

std::int64_t tenant_pool::unmet_tokens(core::time_point now) const
{
    std::int64_t sum = 0;
    for (const auto& [borrower, account] : this->debtors)
    {
        sum += borrower.lender || now - account.wanted_at > longest_wait ? 0 : account.wanted;
    }
    return sum;
}

bool tenant_pool::may_be_lent_more(core::time_point now) const
{
    return std::any_of(this->inbound.begin(), this->inbound.end(),
                       [this, now](const auto& entry)
                       {
                           return entry.second.denied_until <= now &&
                                  (this->pooled == pooling::none || entry.first == this->home_zone);
                       });
}

core::duration tenant_pool::denial(core::time_point now) const
{
    core::duration wait = this->bucket.time_until(micro_tokens_per_token);
    for (const auto& [zone, from] : this->inbound)
    {
        if (from.denied_until > now)
        {
            wait = std::min(wait, from.denied_until - now);
        }
    }
    return std::clamp(wait, shortest_denial, longest_denial);
}

loan_grant_item tenant_pool::grant_to(const borrower_key& borrower, debtor& account, core::time_point now)
{
    allocation_input input{.base = this->own_share,
                           .total = this->total(),
                           .unlent = this->bucket.contents(),
                           .outstanding = account.loan.outstanding_after(now),
                           .latest = account.loan.latest(),
                           .lent_to_zones = {},
                           .daemon_demand = this->daemon_demand(now),
                           .demand = account.demand,
                           .held_tokens = account.held_tokens,
                           .wanted = account.wanted,
                           .pooled = this->pooled};
    for (const auto& [other, others_account] : this->debtors)
    {
        if (other.lender && other != borrower)
        {
            input.lent_to_zones += others_account.loan.outstanding_after(now);
        }
    }
    allocation chosen = borrower.lender ? allocate_to_zone(input) : allocate_to_daemon(input);
    const part over = this->excess(now);
    if (over != part{})
    {
        const part most = component_max(input.latest - over, part{});
        chosen.granted = component_min(chosen.granted, {.rate = most.rate, .capacity = most.capacity});
    }
    const core::duration term = this->term_for(borrower);
    this->bucket.take_tokens(chosen.granted.tokens);
    const std::uint64_t seq =
        account.loan.grant(chosen.granted.rate, chosen.granted.capacity, chosen.granted.tokens,
                           now + safe_lapse(term, this->terms.grace));
    this->resize_at(now);
    account.held_tokens += chosen.granted.tokens;
    account.wanted = chosen.satisfied ? 0 : account.wanted;
    loan_grant_item grant{.tenant = {},
                          .loan_id = account.loan.id(),
                          .seq = seq,
                          .rate = chosen.granted.rate,
                          .capacity = chosen.granted.capacity,
                          .tokens = chosen.granted.tokens,
                          .term = term,
                          .one_shot = chosen.one_shot};
    if (!chosen.satisfied && (borrower.lender || !this->may_be_lent_more(now)))
    {
        account.wanted = 0;
        grant.denied_for = this->denial(now);
    }
    return grant;
}

std::optional<loan_grant_item> tenant_pool::serve(const borrower_key& borrower, const lender_epoch& own_epoch,
                                                  const loan_request_item& item, std::uint64_t number,
                                                  std::uint64_t& next_loan_id, core::time_point now)
{
    this->refresh(now);
    auto found = this->debtors.find(borrower);
    if (found == this->debtors.end())
    {
        found = this->debtors.emplace(borrower, debtor{.loan = lent_loan{next_loan_id++}}).first;
    }
    debtor& account = found->second;
    if (number <= account.last_request)
    {
        return std::nullopt;
    }
    account.last_request = number;
    if (item.epoch == own_epoch && item.loan_id == account.loan.id())
    {
        const part before = account.loan.outstanding_after(now);
        account.loan.acknowledge(item.applied_seq, item.held_rate, item.held_capacity);
        const part released = before - account.loan.outstanding_after(now);
        this->resize_at(now);
        // Returned tokens were covered by capacity that this request gives back; more would be a creation of
        // tokens.
        this->bucket.add_tokens(std::clamp<std::int64_t>(item.returned_tokens, 0, released.capacity));
    }
    account.demand = std::max<std::int64_t>(0, item.demand);
    account.demand_at = now;
    account.held_tokens = std::max<std::int64_t>(0, item.held_tokens);
    // Tokens on the way were meant for the same requests.
    account.wanted = std::max<std::int64_t>(0, item.wanted_tokens - account.loan.tokens_in_transit());
    account.wanted_at = now;
    return this->grant_to(borrower, account, now);
}

std::vector<tenant_pool::late_answer> tenant_pool::serve_waiting(core::time_point now)
{
    std::vector<late_answer> answers;
    this->refresh(now);
    for (auto& [borrower, account] : this->debtors)
    {
        if (account.wanted == 0 || borrower.lender)
        {
            continue;
        }
        if (now - account.wanted_at > longest_wait)
        {
            account.wanted = 0;
            continue;
        }
        if (this->bucket.contents().tokens >= micro_tokens_per_token || !this->may_be_lent_more(now))
        {
            answers.push_back({borrower, account.last_request, this->grant_to(borrower, account, now)});
        }
    }
    this->demand_now = this->daemon_demand(now);
    this->unmet_now = this->unmet_tokens(now);
    return answers;
}

bool tenant_pool::in_excess(core::time_point now)
{
    this->refresh(now);
    const part share = this->total();
    return this->outstanding.rate > share.rate || this->outstanding.capacity > share.capacity;
}

part tenant_pool::unlent(core::time_point now)
{
    this->refresh(now);
    return this->bucket.contents();
}

part tenant_pool::lent(core::time_point now)
{
    this->refresh(now);
    return this->outstanding;
}

core::time_point tenant_pool::last_lapse(core::time_point now) const
{
    core::time_point last = std::max(now, this->inherited_until);
    for (const auto& [borrower, account] : this->debtors)
    {
        last = std::max(last, account.loan.lapses_at());
    }
    return last;
}

bool tenant_pool::idle(core::time_point now)
{
    this->refresh(now);
    return this->debtors.empty() && this->own_share == part{} && this->total() == part{} &&
           this->inherited == part{};
}

} // namespace laburnumreach::quota
