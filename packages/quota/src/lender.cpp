#include "laburnumreach/quota/lender.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace laburnumreach::quota
{

namespace
{

/// Lenders tell each other the revisions in use this often.
constexpr core::duration announcement_interval = std::chrono::seconds{1};

} // namespace

lender::lender(lender_options settings, core::time_point now)
    : options(std::move(settings)),
      parts(this->options.zone, this->options.rate_margin_ppm),
      next_announcement(now)
{
}

lender::lender(lender_options settings, const handover& from, core::time_point now)
    : lender(std::move(settings), now)
{
    const core::time_point until =
        now + from.loans_lapse_after + from.loans_lapse_after / 50 + this->options.terms.grace;
    for (const auto& [tenant, totals] : from.tenants)
    {
        tenant_pool& pool = this->pools.try_emplace(tenant, this->options.terms, now).first->second;
        // The share is corrected when the configuration is set; until then it is what the earlier lender had.
        pool.set_base(totals.base, now);
        pool.inherit(totals.lent, until, now);
        pool.fill(totals.unlent.tokens);
    }
}

bool lender::has_authority(core::time_point now) const
{
    return !this->stopped && now >= this->options.start_after && now < this->authority_until;
}

void lender::configure(std::shared_ptr<const quota_revision> revision, core::time_point now)
{
    const bool first = this->parts.newest() == nullptr;
    if (!this->parts.adopt(std::move(revision)))
    {
        return;
    }
    this->update_bases(now);
    if (first && this->options.start_full)
    {
        for (auto& [tenant, pool] : this->pools)
        {
            pool.fill(pool.base().capacity);
        }
    }
}

void lender::update_bases(core::time_point now)
{
    const auto newest = this->parts.newest();
    std::vector<std::string> others = newest->zones;
    std::erase(others, this->options.zone);
    for (const auto& [tenant, quota] : newest->tenants)
    {
        this->pools.try_emplace(tenant, this->options.terms, now);
    }
    for (auto& [tenant, pool] : this->pools)
    {
        pool.set_base(this->parts.base_part(tenant), now);
        const std::string_view home = newest->pooling_zone(tenant);
        const pooling role = home.empty()                 ? pooling::none
                             : home == this->options.zone ? pooling::home
                                                          : pooling::member;
        pool.set_other_zones(others, role, home);
    }
    for (auto entry = this->pools.begin(); entry != this->pools.end();)
    {
        const bool unused = !newest->tenants.contains(entry->first) && entry->second.idle(now);
        entry = unused ? this->pools.erase(entry) : std::next(entry);
    }
}

loan_grant lender::make_grant(const borrower_key& receiver, std::uint64_t number) const
{
    return {.lender_zone = this->options.zone,
            .epoch = this->options.epoch,
            .receiver = receiver.daemon,
            .to_lender = receiver.lender,
            .receiver_epoch = receiver.epoch,
            .request_number = number,
            .items = {}};
}

lender::output lender::receive(const loan_request& request, core::time_point now)
{
    output out;
    if (!this->has_authority(now) || request.lender_zone != this->options.zone)
    {
        return out;
    }
    if (request.from_lender && this->parts.other_zone_uses(request.sender_zone, request.revisions))
    {
        this->update_bases(now);
    }
    const borrower_key borrower{.lender = request.from_lender,
                                .zone = request.sender_zone,
                                .daemon = request.sender,
                                .epoch = request.sender_epoch};
    loan_grant grant = this->make_grant(borrower, request.number);
    std::vector<std::string> touched;
    for (const loan_request_item& item : request.items)
    {
        const auto pool = this->pools.find(item.tenant);
        if (pool == this->pools.end())
        {
            continue;
        }
        if (auto answer = pool->second.serve(borrower, this->options.epoch, item, request.number,
                                             this->next_loan_id, now))
        {
            answer->tenant = item.tenant;
            grant.items.push_back(std::move(*answer));
            touched.push_back(item.tenant);
        }
    }
    if (!grant.items.empty())
    {
        out.grants.push_back(std::move(grant));
    }
    for (const std::string& tenant : touched)
    {
        this->serve_waiting(tenant, this->pools.at(tenant), out, now);
    }
    this->ask_zones(touched, false, out, now);
    return out;
}

lender::output lender::receive(const loan_grant& grant, core::time_point now)
{
    output out;
    const auto log = this->requests.find(grant.lender_zone);
    if (!this->has_authority(now) || !grant.to_lender || grant.receiver != this->options.self ||
        grant.receiver_epoch != this->options.epoch || log == this->requests.end())
    {
        return out;
    }
    const auto requested_at = log->second.sent_at(grant.request_number);
    if (!requested_at)
    {
        return out;
    }
    std::vector<std::string> touched;
    for (const loan_grant_item& item : grant.items)
    {
        const auto pool = this->pools.find(item.tenant);
        if (pool != this->pools.end())
        {
            pool->second.apply_zone(grant.lender_zone, grant.epoch, item, *requested_at, now);
            this->serve_waiting(item.tenant, pool->second, out, now);
            touched.push_back(item.tenant);
        }
    }
    this->ask_zones(touched, false, out, now);
    return out;
}

lender::output lender::poll(core::time_point now)
{
    output out;
    if (!this->has_authority(now) || this->parts.newest() == nullptr)
    {
        return out;
    }
    bool excess = false;
    std::vector<std::string> tenants;
    tenants.reserve(this->pools.size());
    for (auto& [tenant, pool] : this->pools)
    {
        excess = excess || pool.in_excess(now);
        this->serve_waiting(tenant, pool, out, now);
        tenants.push_back(tenant);
    }
    if (!excess)
    {
        this->parts.settled();
    }
    const bool announce = now >= this->next_announcement;
    this->next_announcement = announce ? now + announcement_interval : this->next_announcement;
    this->ask_zones(tenants, announce, out, now);
    return out;
}

void lender::serve_waiting(const std::string& tenant, tenant_pool& pool, output& out, core::time_point now)
{
    for (tenant_pool::late_answer& late : pool.serve_waiting(now))
    {
        loan_grant grant = this->make_grant(late.borrower, late.number);
        late.grant.tenant = tenant;
        grant.items.push_back(std::move(late.grant));
        out.grants.push_back(std::move(grant));
    }
}

void lender::ask_zones(const std::vector<std::string>& tenants, bool announce, output& out,
                       core::time_point now)
{
    const auto newest = this->parts.newest();
    if (newest == nullptr)
    {
        return;
    }
    for (const std::string& zone : newest->zones)
    {
        if (zone == this->options.zone)
        {
            continue;
        }
        loan_request request{.lender_zone = zone,
                             .sender_zone = this->options.zone,
                             .sender = this->options.self,
                             .from_lender = true,
                             .sender_epoch = this->options.epoch,
                             .number = 0,
                             .revisions = {},
                             .items = {}};
        for (const std::string& tenant : tenants)
        {
            if (auto item = this->pools.at(tenant).ask_zone(zone, now))
            {
                item->tenant = tenant;
                request.items.push_back(std::move(*item));
            }
        }
        if (announce || !request.items.empty())
        {
            request.number = this->requests[zone].add(now);
            request.revisions = this->parts.announced();
            out.requests.push_back(std::move(request));
        }
    }
}

std::optional<handover> lender::stop(const daemon_ref& successor, core::time_point now)
{
    const bool had_authority = this->has_authority(now);
    this->stopped = true;
    if (!had_authority)
    {
        return std::nullopt;
    }
    handover out{.zone = this->options.zone,
                 .epoch = this->options.epoch,
                 .from = this->options.self,
                 .to = successor,
                 .loans_lapse_after = {},
                 .revisions = this->parts.in_use(),
                 .tenants = {}};
    core::time_point last = now;
    for (auto& [tenant, pool] : this->pools)
    {
        last = std::max(last, pool.last_lapse(now));
        part left = pool.unlent(now);
        const part lent = pool.lent(now);
        // What was borrowed from other zones is not passed on.
        const part own_left = component_max(pool.base() - lent, part{});
        left = {.rate = std::min(left.rate, own_left.rate),
                .capacity = std::min(left.capacity, own_left.capacity),
                .tokens = std::min(left.tokens, own_left.capacity)};
        out.tenants.emplace(tenant, handover_tenant{.base = pool.base(), .unlent = left, .lent = lent});
    }
    out.loans_lapse_after = last - now;
    return out;
}

tenant_pool* lender::find_pool(std::string_view tenant)
{
    const auto found = this->pools.find(tenant);
    return found == this->pools.end() ? nullptr : &found->second;
}

} // namespace laburnumreach::quota
