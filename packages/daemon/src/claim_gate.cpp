#include "laburnumreach/daemon/claim_gate.hpp"

#include <iterator>
#include <utility>
#include <variant>

namespace laburnumreach::daemon
{

namespace
{

/// How often a waiting request looks for a gone caller.
constexpr std::chrono::milliseconds poll_interval{50};

template <typename Item>
void append(std::vector<Item>& target, std::vector<Item>&& source)
{
    std::move(source.begin(), source.end(), std::back_inserter(target));
}

} // namespace

claim_gate::claim_gate(idempotency::process_id process,
                       idempotency::claim_committer::running_predicate is_running,
                       std::function<void()> notify_control)
    : notify(std::move(notify_control)),
      self(std::move(process)),
      client({}, this->self, this->router),
      committer({}, this->self, std::move(is_running)),
      answers(idempotency::answer_cache_options{})
{
}

idempotency::claim_decision claim_gate::acquire(const idempotency::claim_key& key,
                                                const std::function<bool()>& caller_gone)
{
    std::unique_lock lock{this->mutex};
    wait_state own;
    idempotency::claim_client_outbox out;
    const std::uint64_t sequence = this->client.begin(core::boot_clock::now(), key, out);
    this->waiting.emplace(sequence, &own);
    this->dispatch(std::move(out));
    this->notify();
    while (!own.decided)
    {
        this->decided.wait_for(lock, poll_interval);
        if (!own.decided && caller_gone && caller_gone())
        {
            idempotency::claim_client_outbox cancelled;
            this->client.cancel(core::boot_clock::now(), sequence, cancelled);
            this->dispatch(std::move(cancelled));
            break;
        }
    }
    this->waiting.erase(sequence);
    return own.decision;
}

void claim_gate::finish(const idempotency::claim_key& key, std::uint64_t sequence,
                        const idempotency::recorded_answer* answer)
{
    const core::time_point now = core::boot_clock::now();
    {
        const std::lock_guard lock{this->mutex};
        if (answer != nullptr)
        {
            this->answers.store(now, key, *answer);
        }
        idempotency::claim_client_outbox out;
        this->client.finish(now, sequence, out);
        this->dispatch(std::move(out));
    }
    this->notify();
}

void claim_gate::release(std::uint64_t sequence)
{
    {
        const std::lock_guard lock{this->mutex};
        idempotency::claim_client_outbox out;
        this->client.release(core::boot_clock::now(), sequence, out);
        this->dispatch(std::move(out));
    }
    this->notify();
}

std::shared_ptr<const idempotency::recorded_answer> claim_gate::find_answer(const idempotency::claim_key& key)
{
    const std::lock_guard lock{this->mutex};
    return this->answers.find(core::boot_clock::now(), key);
}

void claim_gate::set_members(std::span<const std::string> members)
{
    const std::lock_guard lock{this->mutex};
    this->router.set_members(members);
    this->committer.set_routed(this->router.slots_of(this->self.daemon));
}

void claim_gate::receive(core::time_point now, const idempotency::claim_message& message)
{
    const std::lock_guard lock{this->mutex};
    if (const auto* request = std::get_if<idempotency::claim_request>(&message))
    {
        this->dispatch(this->committer.receive(now, *request));
    }
    else if (const auto* update = std::get_if<idempotency::claim_update>(&message))
    {
        this->dispatch(this->committer.receive(now, *update));
    }
    else if (const auto* response = std::get_if<idempotency::claim_response>(&message))
    {
        idempotency::claim_client_outbox out;
        this->client.receive(now, *response, out);
        this->dispatch(std::move(out));
    }
    else if (const auto* acknowledgement = std::get_if<idempotency::claim_acknowledgement>(&message))
    {
        this->client.receive(*acknowledgement);
    }
}

void claim_gate::complete(core::time_point now, const idempotency::store_result& result)
{
    const std::lock_guard lock{this->mutex};
    this->dispatch(this->committer.complete(now, result));
}

void claim_gate::tick(core::time_point now)
{
    const std::lock_guard lock{this->mutex};
    idempotency::claim_client_outbox out;
    this->client.tick(now, out);
    this->dispatch(std::move(out));
    this->dispatch(this->committer.tick(now));
}

claim_gate::outbox claim_gate::take_outbox()
{
    const std::lock_guard lock{this->mutex};
    return std::exchange(this->pending, {});
}

void claim_gate::dispatch(idempotency::claim_client_outbox out)
{
    append(this->pending.messages, std::move(out.messages));
    bool any = false;
    for (const idempotency::claim_decision& decision : out.decisions)
    {
        if (const auto found = this->waiting.find(decision.sequence); found != this->waiting.end())
        {
            found->second->decision = decision;
            found->second->decided = true;
            any = true;
        }
    }
    if (any)
    {
        this->decided.notify_all();
    }
}

void claim_gate::dispatch(idempotency::claim_outbox out)
{
    append(this->pending.messages, std::move(out.messages));
    append(this->pending.calls, std::move(out.calls));
}

} // namespace laburnumreach::daemon
