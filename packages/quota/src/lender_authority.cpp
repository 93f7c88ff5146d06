#include "laburnumreach/quota/lender_authority.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace laburnumreach::quota
{

lender_authority::lender_authority(std::string own_zone, daemon_ref own_ref, lender_epoch own_epoch,
                                   authority_terms settings)
    : zone(std::move(own_zone)), self(std::move(own_ref)), epoch(own_epoch), terms(settings)
{
}

lender_authority lender_authority::from_handover(std::string own_zone, daemon_ref own_ref,
                                                 lender_epoch own_epoch, authority_terms settings,
                                                 core::time_point until)
{
    lender_authority result{std::move(own_zone), std::move(own_ref), own_epoch, settings};
    result.records.push_back(
        {.write = 0, .successor = std::nullopt, .sent_at = {}, .own_limit = until, .inherited = true});
    result.confirmed = true;
    return result;
}

void lender_authority::write_sent(std::uint64_t write, std::optional<daemon_ref> successor,
                                  core::time_point now)
{
    assert(this->records.empty() || this->records.back().write < write);
    this->records.push_back({.write = write, .successor = std::move(successor), .sent_at = now});
}

void lender_authority::write_confirmed(std::uint64_t write)
{
    const auto found = std::find_if(this->records.begin(), this->records.end(),
                                    [write](const possible_record& entry) { return entry.write == write; });
    if (found != this->records.end())
    {
        this->records.erase(this->records.begin(), found);
        this->confirmed = true;
    }
}

void lender_authority::write_rejected(std::uint64_t write)
{
    std::erase_if(this->records, [write](const possible_record& entry) { return entry.write == write; });
}

std::vector<promise_request> lender_authority::poll(core::time_point now)
{
    std::vector<promise_request> out;
    if (this->ended)
    {
        return out;
    }
    std::vector<daemon_ref> asked;
    const auto ask = [&](const std::optional<daemon_ref>& daemon)
    {
        if (!daemon || std::find(asked.begin(), asked.end(), *daemon) != asked.end())
        {
            return;
        }
        asked.push_back(*daemon);
        promise_state& promise = this->promises[*daemon];
        if (promise.until == core::time_point::max() || now < promise.next_ask)
        {
            return;
        }
        promise.next_ask = now + this->terms.ask_interval;
        out.push_back({.zone = this->zone,
                       .from = this->self,
                       .to = *daemon,
                       .epoch = this->epoch,
                       .number = promise.requests.add(now),
                       .term = this->terms.promise_term});
    };
    for (const possible_record& record : this->records)
    {
        ask(record.successor);
    }
    ask(this->candidate);
    std::erase_if(this->promises, [&asked](const auto& entry)
                  { return std::find(asked.begin(), asked.end(), entry.first) == asked.end(); });
    return out;
}

void lender_authority::receive(const promise_answer& answer, core::time_point now)
{
    const auto found = this->promises.find(answer.from);
    if (answer.to != this->self || answer.epoch != this->epoch || answer.zone != this->zone ||
        found == this->promises.end())
    {
        return;
    }
    promise_state& promise = found->second;
    const auto asked_at = promise.requests.sent_at(answer.number);
    if (answer.for_good)
    {
        promise.until = core::time_point::max();
    }
    else if (asked_at)
    {
        promise.until = std::max(promise.until, *asked_at + std::min(answer.term, this->terms.promise_term));
    }
    if (asked_at && answer.number > promise.last_number)
    {
        promise.last_number = answer.number;
        promise.received_at = now;
    }
}

core::time_point lender_authority::promised_until(const daemon_ref& daemon) const
{
    const auto promise = this->promises.find(daemon);
    return promise == this->promises.end() ? core::time_point::min() : promise->second.until;
}

core::time_point lender_authority::end_of(const possible_record& record) const
{
    if (record.inherited)
    {
        return record.own_limit;
    }
    if (!record.successor)
    {
        return record.sent_at + this->terms.lease_term;
    }
    const core::time_point promised = this->promised_until(*record.successor);
    return this->terms.orphan_limit ? std::min(promised, record.sent_at + *this->terms.orphan_limit)
                                    : promised;
}

core::time_point lender_authority::valid_until() const
{
    if (this->ended || !this->confirmed || this->records.empty())
    {
        return core::time_point::min();
    }
    core::time_point end = core::time_point::max();
    for (const possible_record& record : this->records)
    {
        end = std::min(end, this->end_of(record));
    }
    return end;
}

std::optional<daemon_ref> lender_authority::handover_target() const
{
    if (this->ended || !this->confirmed || this->records.size() != 1)
    {
        return std::nullopt;
    }
    const auto& successor = this->records.front().successor;
    const auto promise = successor ? this->promises.find(*successor) : this->promises.end();
    if (promise == this->promises.end() || promise->second.until == core::time_point::max())
    {
        return std::nullopt;
    }
    return successor;
}

void lender_authority::describe(handover& message) const
{
    const auto promise = this->promises.find(message.to);
    if (!this->terms.orphan_limit || promise == this->promises.end() || this->records.empty())
    {
        return;
    }
    message.promise_number = promise->second.last_number;
    const core::time_point limit = this->records.front().sent_at + *this->terms.orphan_limit;
    // 2% less, for clocks that run within 1% of real time.
    const core::duration left = limit - promise->second.received_at;
    message.authority_lasts = left - left / 50;
}

} // namespace laburnumreach::quota
