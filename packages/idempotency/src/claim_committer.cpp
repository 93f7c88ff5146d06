#include "laburnumreach/idempotency/claim_committer.hpp"

#include <algorithm>
#include <utility>

namespace laburnumreach::idempotency
{

claim_committer::claim_committer(const claim_committer_options& options, process_id process,
                                 running_predicate is_running)
    : shared{.options = options, .self = std::move(process), .is_running = std::move(is_running)}
{
}

void claim_committer::set_routed(const slot_set& routed_slots)
{
    this->routed = routed_slots;
}

claim_outbox claim_committer::receive(core::time_point now, const claim_request& request)
{
    claim_outbox out;
    this->committer_of(slot_of(request.key)).receive(now, request, out);
    return out;
}

claim_outbox claim_committer::receive(core::time_point now, const claim_update& update)
{
    claim_outbox out;
    this->committer_of(slot_of(update.key)).receive(now, update, out);
    return out;
}

claim_outbox claim_committer::complete(core::time_point now, const store_result& result)
{
    claim_outbox out;
    const auto found = std::find_if(this->slots.begin(), this->slots.end(),
                                    [&](const auto& entry) { return entry.second.awaits(result.id); });
    if (found != this->slots.end())
    {
        found->second.complete(now, result, out);
    }
    return out;
}

claim_outbox claim_committer::tick(core::time_point now)
{
    claim_outbox out;
    for (std::size_t slot = 0; slot < slot_count; ++slot)
    {
        if (this->routed[slot])
        {
            this->committer_of(slot);
        }
    }
    for (auto& [slot, committer] : this->slots)
    {
        committer.tick(now, this->routed[slot], out);
    }
    return out;
}

slot_committer& claim_committer::committer_of(std::size_t slot)
{
    return this->slots.try_emplace(slot, this->shared, slot).first->second;
}

} // namespace laburnumreach::idempotency
