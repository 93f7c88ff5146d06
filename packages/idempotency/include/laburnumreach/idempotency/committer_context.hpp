#ifndef LABURNUMREACH_IDEMPOTENCY_COMMITTER_CONTEXT_HPP
#define LABURNUMREACH_IDEMPOTENCY_COMMITTER_CONTEXT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/idempotency/claim_message.hpp"
#include "laburnumreach/idempotency/claim_slot.hpp"
#include "laburnumreach/idempotency/claim_store_call.hpp"
#include "laburnumreach/idempotency/refused_claims.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace laburnumreach::idempotency
{

/// Settings of a claim_committer.
struct claim_committer_options
{
    /// Shortest time between two writes of one slot; bounds the platform load to 10 writes/s for each slot.
    core::duration write_interval = std::chrono::milliseconds{100};
    /// Shortest time between two reads of one slot.
    core::duration read_interval = std::chrono::milliseconds{50};
    /// A claim is answered with claim_store_unavailable after this wait.
    core::duration claim_wait = std::chrono::seconds{1};
    /// A completion or release that could not be written is dropped after this wait; its sender repeats it.
    core::duration update_wait = std::chrono::seconds{5};
    /// A store call without a result counts as of unknown fate after this time.
    core::duration call_timeout = std::chrono::seconds{2};
    /// First wait after a failed store call; doubles up to max_backoff.
    core::duration min_backoff = std::chrono::milliseconds{100};
    core::duration max_backoff = std::chrono::seconds{2};
    /// Duplicates are refused by the known content of a slot when that is younger than this.
    core::duration view_max_age = std::chrono::seconds{1};
    /// Time that a generation must have been known before it is ended: 60 s and 2% for the rate error of the
    /// monotonic clock.
    core::duration generation_length = std::chrono::milliseconds{61'200};
    /// The content of a slot that is not routed here is forgotten after this time without use.
    core::duration view_retention = std::chrono::minutes{1};
    /// Messages that wait for one slot at most; further claims are answered with claim_store_unavailable.
    std::size_t max_waiting = 4096;
    /// Refused or released tokens that are remembered at most.
    std::size_t max_refused = 8192;
    /// Records of one slot at most.
    std::size_t max_records = claim_slot::max_records;
};

/// Messages to send and store calls to make.
struct claim_outbox
{
    std::vector<outgoing_claim_message> messages;
    std::vector<store_call> calls;
};

/// Counts since start.
struct claim_committer_counters
{
    std::uint64_t granted = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t table_full = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t recognised_writes = 0; ///< Writes of unknown fate that a read showed to have taken effect.
    std::uint64_t damaged_objects = 0;   ///< Reads of values that are no claim slot.
};

/// What the slot committers of one claim_committer share.
struct committer_context
{
    /// Says whether a process is running.
    using running_predicate = std::function<bool(const process_id&)>;

    claim_committer_options options;
    process_id self;
    running_predicate is_running;
    claim_committer_counters counters;
    refused_claims refused{options.max_refused};
    std::uint64_t next_call = 1;
};

} // namespace laburnumreach::idempotency

#endif
