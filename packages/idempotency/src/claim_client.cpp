#include "laburnumreach/idempotency/claim_client.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace laburnumreach::idempotency
{

claim_client::claim_client(const claim_client_options& settings, process_id process,
                           const claim_router& slot_router)
    : options(settings), self(std::move(process)), router(&slot_router)
{
}

std::uint64_t claim_client::begin(core::time_point now, const claim_key& key, claim_client_outbox& out)
{
    const std::uint64_t sequence = this->next_sequence++;
    pending_request& request = this->requests[sequence];
    request = {.key = key, .begun_at = now, .next_send_at = now};
    this->send_request(now, sequence, request, out);
    return sequence;
}

bool claim_client::cancel(core::time_point now, std::uint64_t sequence, claim_client_outbox& out)
{
    const auto found = this->requests.find(sequence);
    if (found == this->requests.end())
    {
        return false;
    }
    const claim_key key = found->second.key;
    this->requests.erase(found);
    this->give_up(now, sequence, key, out);
    return true;
}

void claim_client::finish(core::time_point now, std::uint64_t sequence, claim_client_outbox& out)
{
    const auto found = this->running.find(sequence);
    assert(found != this->running.end());
    this->report(now, sequence, {.key = found->second, .kind = claim_update_kind::finished}, out);
    this->running.erase(found);
}

void claim_client::release(core::time_point now, std::uint64_t sequence, claim_client_outbox& out)
{
    const auto found = this->running.find(sequence);
    assert(found != this->running.end());
    const claim_key key = found->second;
    this->running.erase(found);
    this->give_up(now, sequence, key, out);
}

void claim_client::receive(core::time_point now, const claim_response& response, claim_client_outbox& out)
{
    if (response.token.owner != this->self)
    {
        return;
    }
    const std::uint64_t sequence = response.token.sequence;
    const auto found = this->requests.find(sequence);
    if (found == this->requests.end())
    {
        const auto given_up = this->abandoned.find(sequence);
        if (response.outcome == claim_outcome::granted && given_up != this->abandoned.end())
        {
            this->give_up(now, sequence, given_up->second.key, out);
        }
        return;
    }
    const pending_request request = found->second;
    this->requests.erase(found);
    out.decisions.push_back({.sequence = sequence,
                             .outcome = response.outcome,
                             .holder = response.holder,
                             .start_before = request.begun_at + this->options.start_limit});
    switch (response.outcome)
    {
    case claim_outcome::granted:
        this->running.emplace(sequence, request.key);
        return;
    case claim_outcome::claim_store_unavailable:
    case claim_outcome::claim_table_full:
        // A repeated request may have reached another committer that recorded the claim.
        if (response.may_be_recorded || request.sends > 1)
        {
            this->give_up(now, sequence, request.key, out);
            return;
        }
        [[fallthrough]];
    case claim_outcome::duplicate_in_progress:
    case claim_outcome::duplicate_finished:
    case claim_outcome::duplicate_outcome_unknown:
        this->remember_abandoned(now, sequence, request.key);
        return;
    }
}

void claim_client::receive(const claim_acknowledgement& acknowledgement)
{
    const auto found = this->updates.find(acknowledgement.token.sequence);
    if (acknowledgement.token.owner == this->self && found != this->updates.end() &&
        found->second.kind == acknowledgement.kind && found->second.round == acknowledgement.round)
    {
        this->updates.erase(found);
    }
}

void claim_client::tick(core::time_point now, claim_client_outbox& out)
{
    for (auto entry = this->requests.begin(); entry != this->requests.end();)
    {
        auto& [sequence, request] = *entry;
        if (now - request.begun_at >= this->options.claim_wait)
        {
            out.decisions.push_back(
                {.sequence = sequence, .outcome = claim_outcome::claim_store_unavailable});
            this->give_up(now, sequence, request.key, out);
            entry = this->requests.erase(entry);
            continue;
        }
        if (now >= request.next_send_at)
        {
            this->send_request(now, sequence, request, out);
        }
        ++entry;
    }
    std::erase_if(this->updates, [&](const auto& entry)
                  { return now - entry.second.begun_at >= this->options.update_limit; });
    for (auto& [sequence, update] : this->updates)
    {
        if (now >= update.next_send_at)
        {
            this->send_update(now, sequence, update, out);
        }
    }
    while (!this->abandoned_order.empty() &&
           now - this->abandoned.at(this->abandoned_order.front()).since >= this->options.abandoned_retention)
    {
        this->forget_oldest_abandoned();
    }
}

void claim_client::send_request(core::time_point now, std::uint64_t sequence, pending_request& request,
                                claim_client_outbox& out)
{
    request.next_send_at = now + this->options.resend_interval;
    const std::string& committer = this->router->committer_of(slot_of(request.key));
    if (committer.empty())
    {
        return;
    }
    ++request.sends;
    out.messages.push_back(
        {.daemon = committer, .message = claim_request{.key = request.key, .token = this->token(sequence)}});
}

void claim_client::send_update(core::time_point now, std::uint64_t sequence, pending_update& update,
                               claim_client_outbox& out)
{
    update.next_send_at = now + update.interval;
    update.interval = std::min(2 * update.interval, this->options.max_update_interval);
    const std::string& committer = this->router->committer_of(slot_of(update.key));
    if (!committer.empty())
    {
        out.messages.push_back({.daemon = committer,
                                .message = claim_update{.key = update.key,
                                                        .token = this->token(sequence),
                                                        .kind = update.kind,
                                                        .round = update.round}});
    }
}

void claim_client::report(core::time_point now, std::uint64_t sequence, pending_update update,
                          claim_client_outbox& out)
{
    if (this->updates.size() >= this->options.max_updates)
    {
        this->updates.erase(this->updates.begin());
    }
    update.begun_at = now;
    update.interval = this->options.min_update_interval;
    this->send_update(now, sequence, this->updates.insert_or_assign(sequence, update).first->second, out);
}

void claim_client::give_up(core::time_point now, std::uint64_t sequence, const claim_key& key,
                           claim_client_outbox& out)
{
    const std::uint32_t round = ++this->remember_abandoned(now, sequence, key).rounds;
    this->report(now, sequence, {.key = key, .kind = claim_update_kind::released, .round = round}, out);
}

claim_client::abandoned_claim& claim_client::remember_abandoned(core::time_point now, std::uint64_t sequence,
                                                                const claim_key& key)
{
    const auto [entry, added] =
        this->abandoned.try_emplace(sequence, abandoned_claim{.key = key, .since = now});
    if (added)
    {
        if (this->abandoned_order.size() >= this->options.max_abandoned)
        {
            this->forget_oldest_abandoned();
        }
        this->abandoned_order.push_back(sequence);
    }
    return entry->second;
}

void claim_client::forget_oldest_abandoned()
{
    this->abandoned.erase(this->abandoned_order.front());
    this->abandoned_order.pop_front();
}

} // namespace laburnumreach::idempotency
