// The part of slot_committer that derives answers from a content of the slot.

#include "laburnumreach/idempotency/slot_committer.hpp"

#include <utility>

namespace laburnumreach::idempotency
{

slot_committer::decision slot_committer::decide(const task& asked, const draft& planned) const
{
    return asked.kind == task_kind::claim ? this->decide_claim(asked, planned)
                                          : this->decide_update(asked, planned);
}

slot_committer::decision slot_committer::decide_claim(const task& asked, const draft& planned) const
{
    const core::time_point recent = asked.arrived_at - this->context->options.view_max_age;
    const auto respond = [&](claim_outcome outcome, const process_id& holder)
    {
        return claim_response{.token = asked.token,
                              .outcome = outcome,
                              .holder = holder,
                              .may_be_recorded = outcome == claim_outcome::granted || asked.may_be_recorded};
    };
    const std::optional<claim_change> record = this->held(asked.key, planned);
    if (record && record->token == asked.token)
    {
        switch (record->state)
        {
        case claim_state::claimed:
            return {.answer = respond(claim_outcome::granted, asked.token.owner)};
        case claim_state::finished:
            return {.answer = respond(claim_outcome::duplicate_finished, asked.token.owner)};
        case claim_state::released:
            // The token was given up by its owner, so it never runs.
            return {.answer = respond(claim_outcome::claim_store_unavailable, asked.token.owner)};
        }
    }
    if (!record || record->state == claim_state::released)
    {
        if (!this->has_room(asked, planned, record ? 0 : 1))
        {
            return {.answer = respond(claim_outcome::claim_table_full, {}), .valid_from = recent};
        }
        return {.answer = respond(claim_outcome::granted, asked.token.owner),
                .change = claim_change{.token = asked.token, .state = claim_state::claimed}};
    }
    const process_id& holder = record->token.owner;
    if (record->state == claim_state::finished)
    {
        return {.answer = respond(claim_outcome::duplicate_finished, holder), .valid_from = recent};
    }
    const bool running = this->context->is_running(holder);
    return {.answer = respond(running ? claim_outcome::duplicate_in_progress
                                      : claim_outcome::duplicate_outcome_unknown,
                              holder),
            .valid_from = recent};
}

slot_committer::decision slot_committer::decide_update(const task& asked, const draft& planned) const
{
    const bool finishes = asked.kind == task_kind::finish;
    claim_message acknowledgement =
        claim_acknowledgement{.token = asked.token,
                              .kind = finishes ? claim_update_kind::finished : claim_update_kind::released,
                              .round = asked.round};
    const std::optional<claim_change> record = this->held(asked.key, planned);
    if (!record || record->token != asked.token)
    {
        // The claim may have been written by another committer after the known content was read.
        return {.answer = std::move(acknowledgement), .valid_from = asked.arrived_at};
    }
    const claim_state wanted = finishes ? claim_state::finished : claim_state::released;
    const bool changes =
        finishes ? record->state != claim_state::finished : record->state == claim_state::claimed;
    if (!changes)
    {
        // A finished claim stays finished, whatever arrives later.
        return {.answer = std::move(acknowledgement)};
    }
    return {.answer = std::move(acknowledgement),
            .change = claim_change{.token = asked.token, .state = wanted}};
}

std::optional<claim_change> slot_committer::held(const claim_key& key, const draft& planned) const
{
    if (const auto found = planned.changes.find(key); found != planned.changes.end())
    {
        return found->second;
    }
    const claim_slot& content = this->view->content;
    const claim_record* record = content.find(key);
    if (record == nullptr)
    {
        return std::nullopt;
    }
    return claim_change{.token = content.token_of(*record), .state = record->state};
}

bool slot_committer::has_room(const task& asked, const draft& planned, std::size_t new_records) const
{
    const claim_slot& content = this->view->content;
    slot_growth growth = planned.growth;
    growth.records += new_records;
    ++growth.processes;
    growth.process_bytes += asked.token.owner.daemon.size();
    return content.has_room(growth, this->context->options.max_records);
}

void slot_committer::add(draft& planned, const claim_key& key, const claim_change& change) const
{
    const claim_slot& content = this->view->content;
    const bool is_new = content.find(key) == nullptr && !planned.changes.contains(key);
    planned.growth.records += is_new ? 1 : 0;
    const process_id& owner = change.token.owner;
    if (!content.knows(owner) && planned.new_processes.insert(owner).second)
    {
        ++planned.growth.processes;
        planned.growth.process_bytes += owner.daemon.size();
    }
    planned.changes[key] = change;
}

void slot_committer::answer(const task& answered, const claim_message& message, claim_outbox& out)
{
    if (const auto* response = std::get_if<claim_response>(&message))
    {
        claim_committer_counters& counters = this->context->counters;
        if (response->outcome != claim_outcome::granted)
        {
            this->context->refused.add(*response);
        }
        switch (response->outcome)
        {
        case claim_outcome::granted:
            ++counters.granted;
            break;
        case claim_outcome::claim_store_unavailable:
            ++counters.unavailable;
            break;
        case claim_outcome::claim_table_full:
            ++counters.table_full;
            break;
        case claim_outcome::duplicate_in_progress:
        case claim_outcome::duplicate_finished:
        case claim_outcome::duplicate_outcome_unknown:
            ++counters.duplicates;
            break;
        }
    }
    this->waiting_ids.erase({answered.token, answered.kind});
    out.messages.push_back({.daemon = answered.token.owner.daemon, .message = message});
}

} // namespace laburnumreach::idempotency
