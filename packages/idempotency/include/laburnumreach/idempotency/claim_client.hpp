#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_CLIENT_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_CLIENT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/idempotency/claim_message.hpp"
#include "laburnumreach/idempotency/claim_router.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace laburnumreach::idempotency
{

/// Settings of a claim_client.
struct claim_client_options
{
    /// A claim without an answer is given up after this time; longer than the committer's claim_wait, so that
    /// a committer in reach answers first.
    core::duration claim_wait = std::chrono::milliseconds{1500};
    /// Time between two sends of a claim request.
    core::duration resend_interval = std::chrono::milliseconds{200};
    /// Time between two sends of an update at first; doubles up to max_update_interval.
    core::duration min_update_interval = std::chrono::milliseconds{300};
    core::duration max_update_interval = std::chrono::seconds{10};
    /// An update that stays without acknowledgement is given up after this time. The record then ages out as
    /// claimed.
    core::duration update_limit = std::chrono::minutes{10};
    /// Updates that await acknowledgement at most; the oldest is given up first.
    std::size_t max_updates = 16'384;
    /// A granted attempt must begin its last try within this time of begin. Leaves the rest of the 10 min
    /// that a record is held for the run itself.
    core::duration start_limit = std::chrono::minutes{2};
    /// Tokens that were given up are remembered this long, to release late grants.
    core::duration abandoned_retention = std::chrono::minutes{15};
    /// Remembered tokens at most. A late grant of a forgotten token stays claimed until it ages out.
    std::size_t max_abandoned = 65'536;
};

/// Outcome of one claim.
struct claim_decision
{
    std::uint64_t sequence = 0; ///< As returned by begin.
    claim_outcome outcome = claim_outcome::claim_store_unavailable;
    process_id holder; ///< For duplicates: the process that holds the claim.
    /// For grants: no byte of a try may be sent to an upstream at or after this time. Compare it to the clock
    /// just before the first byte, so that a daemon that was paused does not run an expired claim.
    core::time_point start_before;
};

/// Messages to send and outcomes for waiting requests.
struct claim_client_outbox
{
    std::vector<outgoing_claim_message> messages;
    std::vector<claim_decision> decisions;
};

/// Obtains claims for requests of this daemon and reports their end.
///
/// Each begin leads to one decision, unless cancel comes first. Each granted decision must be followed by one
/// call of finish or release. Only this class releases tokens, and only those that will not run: proven not
/// run, or given up before a grant was delivered. A grant that arrives later is released, never delivered.
/// Deterministic and not thread safe.
class claim_client
{
public:
    /// @param process this process; its incarnation must be a random number of this process start
    /// @param slot_router chooses the committers; kept by reference and read at each send
    claim_client(const claim_client_options& settings, process_id process, const claim_router& slot_router);

    /// Asks for a claim.
    /// @returns the sequence that names the claim in the other calls
    std::uint64_t begin(core::time_point now, const claim_key& key, claim_client_outbox& out);

    /// Gives a claim up whose decision was not delivered yet. No decision follows.
    /// @returns false when the decision was delivered before; a grant then needs finish or release
    bool cancel(core::time_point now, std::uint64_t sequence, claim_client_outbox& out);

    /// Reports that a granted request ran or may have run to an unknown point.
    void finish(core::time_point now, std::uint64_t sequence, claim_client_outbox& out);

    /// Reports that a granted request is proven not run and will not be tried again under this claim.
    void release(core::time_point now, std::uint64_t sequence, claim_client_outbox& out);

    /// Handles a message of a committer. Messages for other processes are ignored.
    void receive(core::time_point now, const claim_response& response, claim_client_outbox& out);
    void receive(const claim_acknowledgement& acknowledgement);

    /// Runs timers. Call it at least every 50 ms.
    void tick(core::time_point now, claim_client_outbox& out);

    /// Returns the number of claims without a decision.
    std::size_t waiting() const noexcept { return this->requests.size(); }
    /// Returns the number of updates without an acknowledgement.
    std::size_t unacknowledged() const noexcept { return this->updates.size(); }

private:
    struct pending_request
    {
        claim_key key;
        core::time_point begun_at;
        core::time_point next_send_at;
        std::size_t sends = 0;
    };

    struct pending_update
    {
        claim_key key;
        claim_update_kind kind = claim_update_kind::finished;
        std::uint32_t round = 0;
        core::time_point begun_at;
        core::time_point next_send_at;
        core::duration interval{0};
    };

    /// A claim that was given up.
    struct abandoned_claim
    {
        claim_key key;
        core::time_point since;
        std::uint32_t rounds = 0; ///< Releases begun for it.
    };

    void send_request(core::time_point now, std::uint64_t sequence, pending_request& request,
                      claim_client_outbox& out);
    void send_update(core::time_point now, std::uint64_t sequence, pending_update& update,
                     claim_client_outbox& out);
    void report(core::time_point now, std::uint64_t sequence, pending_update update,
                claim_client_outbox& out);
    void give_up(core::time_point now, std::uint64_t sequence, const claim_key& key,
                 claim_client_outbox& out);
    abandoned_claim& remember_abandoned(core::time_point now, std::uint64_t sequence, const claim_key& key);
    void forget_oldest_abandoned();
    claim_token token(std::uint64_t sequence) const { return {.owner = this->self, .sequence = sequence}; }

    claim_client_options options;
    process_id self;
    const claim_router* router;
    std::uint64_t next_sequence = 1;
    std::map<std::uint64_t, pending_request> requests;
    std::unordered_map<std::uint64_t, claim_key> running; ///< Granted and neither finished nor released.
    std::map<std::uint64_t, pending_update> updates;
    std::unordered_map<std::uint64_t, abandoned_claim> abandoned;
    std::deque<std::uint64_t> abandoned_order; ///< Oldest first.
};

} // namespace laburnumreach::idempotency

#endif
