#include "laburnumreach/idempotency/slot_committer.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace laburnumreach::idempotency
{

void slot_committer::receive(core::time_point now, const claim_request& request, claim_outbox& out)
{
    this->accept(
        now, {.kind = task_kind::claim, .key = request.key, .token = request.token, .arrived_at = now}, out);
}

void slot_committer::receive(core::time_point now, const claim_update& update, claim_outbox& out)
{
    this->accept(now,
                 {.kind = update.kind == claim_update_kind::finished ? task_kind::finish : task_kind::release,
                  .key = update.key,
                  .token = update.token,
                  .round = update.round,
                  .arrived_at = now},
                 out);
}

void slot_committer::accept(core::time_point now, task added, claim_outbox& out)
{
    this->last_used_at = now;
    if (added.kind == task_kind::release)
    {
        this->context->refused.add({.token = added.token, .may_be_recorded = false});
    }
    else if (const claim_response* refusal = this->context->refused.find(added.token);
             refusal != nullptr && added.kind == task_kind::claim)
    {
        this->answer(added, *refusal, out);
        return;
    }
    if (this->waiting_ids.contains({added.token, added.kind}))
    {
        if (added.kind != task_kind::claim)
        {
            // The acknowledgement must name the last round and rest on content that is as new as that round.
            const auto same = std::find_if(
                this->waiting.begin(), this->waiting.end(),
                [&](const task& other) { return other.token == added.token && other.kind == added.kind; });
            same->round = std::max(same->round, added.round);
            same->arrived_at = now;
            same->answer_after_write.reset();
        }
        return;
    }
    if (this->view && !this->unsettled_version)
    {
        const decision made = this->decide(added, {});
        if (!made.change && made.valid_from <= this->view->current_at)
        {
            this->answer(added, made.answer, out);
            return;
        }
    }
    if (this->waiting.size() >= this->context->options.max_waiting)
    {
        if (added.kind == task_kind::claim)
        {
            this->answer(added, claim_response{.token = added.token, .may_be_recorded = false}, out);
        }
        return;
    }
    this->waiting_ids.emplace(added.token, added.kind);
    this->waiting.push_back(std::move(added));
    this->proceed(now, out);
}

void slot_committer::complete(core::time_point now, const store_result& result, claim_outbox& out)
{
    assert(this->awaits(result.id));
    if (this->call->kind == store_call_kind::read)
    {
        this->finish_read(now, result);
    }
    else
    {
        this->finish_write(now, result, out);
    }
    this->proceed(now, out);
}

void slot_committer::tick(core::time_point now, bool is_routed, claim_outbox& out)
{
    this->routed = is_routed;
    this->expire(now, out);
    if (this->call && now - this->call->issued_at >= this->context->options.call_timeout)
    {
        this->complete(now, {.id = this->call->id, .status = store_status::outcome_unknown}, out);
    }
    const bool unused = now - this->last_used_at >= this->context->options.view_retention;
    if (!this->routed && !this->call && this->waiting.empty() && unused)
    {
        this->view.reset();
        this->generation.reset();
    }
    this->proceed(now, out);
}

void slot_committer::proceed(core::time_point now, claim_outbox& out)
{
    if (this->call || (this->waiting.empty() && !this->routed))
    {
        return;
    }
    if (!this->view)
    {
        if (now >= this->next_read_at)
        {
            this->read(now, out);
        }
        return;
    }
    if (now >= this->next_write_at)
    {
        this->commit(now, out);
    }
}

void slot_committer::commit(core::time_point now, claim_outbox& out)
{
    draft planned;
    std::vector<decision> decisions;
    decisions.reserve(this->waiting.size());
    for (const task& asked : this->waiting)
    {
        decisions.push_back(this->decide(asked, planned));
        if (decisions.back().change)
        {
            this->add(planned, asked.key, *decisions.back().change);
        }
    }
    const bool ends_generation = this->generation_due(now);
    const bool settles = this->unsettled_version && !this->waiting.empty();
    if (!planned.changes.empty() || ends_generation || settles)
    {
        for (std::size_t index = 0; index < this->waiting.size(); ++index)
        {
            this->waiting[index].answer_after_write = std::move(decisions[index].answer);
        }
        this->write(now, planned.changes, ends_generation, out);
        return;
    }
    std::vector<task> left;
    for (std::size_t index = 0; index < this->waiting.size(); ++index)
    {
        if (decisions[index].valid_from <= this->view->current_at)
        {
            this->waiting_ids.erase({this->waiting[index].token, this->waiting[index].kind});
            this->answer(this->waiting[index], decisions[index].answer, out);
        }
        else
        {
            left.push_back(std::move(this->waiting[index]));
        }
    }
    this->waiting = std::move(left);
    if (!this->waiting.empty() && now >= this->next_read_at)
    {
        this->read(now, out);
    }
}

void slot_committer::expire(core::time_point now, claim_outbox& out)
{
    const claim_committer_options& options = this->context->options;
    std::erase_if(this->waiting,
                  [&](const task& asked)
                  {
                      const bool is_claim = asked.kind == task_kind::claim;
                      if (now - asked.arrived_at < (is_claim ? options.claim_wait : options.update_wait))
                      {
                          return false;
                      }
                      if (is_claim)
                      {
                          const bool in_write = asked.answer_after_write.has_value();
                          this->answer(asked,
                                       claim_response{.token = asked.token,
                                                      .may_be_recorded = asked.may_be_recorded || in_write},
                                       out);
                      }
                      else
                      {
                          this->waiting_ids.erase({asked.token, asked.kind});
                      }
                      return true;
                  });
}

void slot_committer::read(core::time_point now, claim_outbox& out)
{
    ++this->context->counters.reads;
    this->next_read_at = now + this->context->options.read_interval;
    this->call =
        call_in_flight{.id = this->context->next_call++, .kind = store_call_kind::read, .issued_at = now};
    out.calls.push_back({.id = this->call->id,
                         .kind = store_call_kind::read,
                         .object = "once/" + std::to_string(this->slot)});
}

void slot_committer::write(core::time_point now, const claim_changes& changes, bool ends_generation,
                           claim_outbox& out)
{
    ++this->context->counters.writes;
    this->next_write_at = now + this->context->options.write_interval;
    const std::uint64_t id = this->context->next_call++;
    const operation_id operation{.incarnation = this->context->self.incarnation, .sequence = id};
    this->call = call_in_flight{.id = id,
                                .kind = store_call_kind::write,
                                .issued_at = now,
                                .expected_version = this->view->version,
                                .proposal = this->view->content.updated(
                                    changes, {.operation = operation, .ends_generation = ends_generation})};
    out.calls.push_back({.id = id,
                         .kind = store_call_kind::write,
                         .object = "once/" + std::to_string(this->slot),
                         .expected_version = this->view->version,
                         .value = this->call->proposal.encode()});
}

void slot_committer::finish_read(core::time_point now, const store_result& result)
{
    const core::time_point issued_at = std::exchange(this->call, std::nullopt)->issued_at;
    if (result.status == store_status::not_found)
    {
        this->view = known_content{.version = 0, .current_at = issued_at};
        this->generation.reset();
    }
    else if (result.status == store_status::ok)
    {
        core::result<claim_slot> content = claim_slot::decode(result.value);
        if (!content)
        {
            ++this->context->counters.damaged_objects;
            this->fail(now);
            return;
        }
        this->view =
            known_content{.content = std::move(*content), .version = result.version, .current_at = issued_at};
    }
    else
    {
        this->fail(now);
        return;
    }
    if (this->unsettled_version && this->view->version != *this->unsettled_version)
    {
        const bool recognised = this->view->content.last_operation() == *this->unsettled_operation;
        this->context->counters.recognised_writes += recognised ? 1 : 0;
        this->unsettled_version.reset();
    }
    this->backoff = core::duration{0};
    this->note_generation(now);
}

void slot_committer::finish_write(core::time_point now, const store_result& result, claim_outbox& out)
{
    call_in_flight ended = *std::exchange(this->call, std::nullopt);
    switch (result.status)
    {
    case store_status::ok:
        this->view = known_content{
            .content = std::move(ended.proposal), .version = result.version, .current_at = ended.issued_at};
        this->unsettled_version.reset();
        this->backoff = core::duration{0};
        this->note_generation(now);
        std::erase_if(this->waiting,
                      [&](const task& asked)
                      {
                          if (!asked.answer_after_write)
                          {
                              return false;
                          }
                          this->answer(asked, *asked.answer_after_write, out);
                          return true;
                      });
        return;
    case store_status::conflict:
        ++this->context->counters.conflicts;
        this->view.reset();
        // A conflict with this very write is possible when a layer below repeated it.
        this->forget_writes(true);
        return;
    case store_status::outcome_unknown:
        ++this->context->counters.unknown_outcomes;
        this->unsettled_version = ended.expected_version;
        this->unsettled_operation = ended.proposal.last_operation();
        this->view.reset();
        this->forget_writes(true);
        return;
    case store_status::not_found:
    case store_status::unavailable:
        this->forget_writes(false);
        this->fail(now);
        return;
    }
}

void slot_committer::forget_writes(bool may_take_effect)
{
    for (task& asked : this->waiting)
    {
        asked.may_be_recorded = asked.may_be_recorded || (may_take_effect && asked.answer_after_write);
        asked.answer_after_write.reset();
    }
}

void slot_committer::fail(core::time_point now)
{
    const claim_committer_options& options = this->context->options;
    this->backoff = std::clamp(2 * this->backoff, options.min_backoff, options.max_backoff);
    this->next_read_at = std::max(this->next_read_at, now + this->backoff);
    this->next_write_at = std::max(this->next_write_at, now + this->backoff);
}

void slot_committer::note_generation(core::time_point now)
{
    const std::uint64_t number = this->view->content.generation();
    if (!this->generation || this->generation->number != number)
    {
        this->generation = known_generation{.number = number, .since = now};
    }
}

bool slot_committer::generation_due(core::time_point now) const
{
    return this->view->content.size() > 0 && this->generation &&
           now - this->generation->since >= this->context->options.generation_length;
}

} // namespace laburnumreach::idempotency
