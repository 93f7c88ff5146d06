#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_COMMITTER_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_COMMITTER_HPP

#include "laburnumreach/idempotency/claim_router.hpp"
#include "laburnumreach/idempotency/slot_committer.hpp"

#include <functional>
#include <map>

namespace laburnumreach::idempotency
{

/// Commits claims, completions and releases to the slot objects, on behalf of any daemon.
///
/// Serves every slot that it gets messages for, also one that is routed elsewhere: safety rests on the
/// conditional writes alone. Deterministic: time, messages and results of store calls come in; messages and
/// wanted store calls go out. Not thread safe.
class claim_committer
{
public:
    // The slot committers refer to the shared context.
    claim_committer(const claim_committer&) = delete;
    claim_committer& operator=(const claim_committer&) = delete;
    ~claim_committer() = default;

    /// Says whether a process is running. A wrong answer only changes the reason that a duplicate gets.
    using running_predicate = slot_committer::running_predicate;

    /// @param process the process that hosts the committer
    claim_committer(const claim_committer_options& options, process_id process, running_predicate is_running);

    /// Sets the slots that are routed to this daemon. It ends generations of these even without traffic.
    void set_routed(const slot_set& routed_slots);

    /// Handles a message of a client.
    claim_outbox receive(core::time_point now, const claim_request& request);
    claim_outbox receive(core::time_point now, const claim_update& update);

    /// Handles the result of a store call. Results of calls that were given up are ignored.
    claim_outbox complete(core::time_point now, const store_result& result);

    /// Runs timers. Call it at least every 50 ms.
    claim_outbox tick(core::time_point now);

    const claim_committer_counters& counters() const noexcept { return this->shared.counters; }

private:
    slot_committer& committer_of(std::size_t slot);

    committer_context shared;
    slot_set routed;
    std::map<std::size_t, slot_committer> slots;
};

} // namespace laburnumreach::idempotency

#endif
