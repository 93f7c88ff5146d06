#ifndef LABURNUMREACH_IDEMPOTENCY_SLOT_COMMITTER_HPP
#define LABURNUMREACH_IDEMPOTENCY_SLOT_COMMITTER_HPP

#include "laburnumreach/idempotency/claim_slot.hpp"
#include "laburnumreach/idempotency/committer_context.hpp"

#include <optional>
#include <set>
#include <utility>

namespace laburnumreach::idempotency
{

/// Commits the claims of one slot. Used by claim_committer.
///
/// Every answer is derived from content that is known to have been in the store. A claim is granted only
/// after the write that holds it, or a read that shows it. After a write of unknown fate nothing is answered
/// from a read that still shows the old version, because the write may yet take effect; a further write on
/// the same version settles which of the two counts.
class slot_committer
{
public:
    using running_predicate = committer_context::running_predicate;

    /// @param slot_number number of the slot, below slot_count
    slot_committer(committer_context& shared, std::size_t slot_number) : context(&shared), slot(slot_number)
    {
    }

    void receive(core::time_point now, const claim_request& request, claim_outbox& out);
    void receive(core::time_point now, const claim_update& update, claim_outbox& out);

    /// @param result result of the call that awaits() named
    void complete(core::time_point now, const store_result& result, claim_outbox& out);

    /// @param routed whether the slot is routed to this daemon
    void tick(core::time_point now, bool routed, claim_outbox& out);

    /// Returns whether a store call is the one in flight.
    bool awaits(std::uint64_t call_id) const noexcept { return this->call && this->call->id == call_id; }

private:
    enum class task_kind : std::uint8_t
    {
        claim,
        finish,
        release,
    };

    /// A request or update that waits for its answer.
    struct task
    {
        task_kind kind = task_kind::claim;
        claim_key key;
        claim_token token;
        std::uint32_t round = 0; ///< Of an update.
        core::time_point arrived_at;
        /// Whether a write that holds this claim may have taken effect or may yet do so.
        bool may_be_recorded = false;
        /// Message to send when the write in flight has taken effect.
        std::optional<claim_message> answer_after_write;
    };

    /// What to do about a task, given a content of the slot.
    struct decision
    {
        claim_message answer;
        std::optional<claim_change> change;
        /// The answer holds only for content that was in the store at this time or later.
        std::optional<core::time_point> valid_from;
    };

    struct call_in_flight
    {
        std::uint64_t id = 0;
        store_call_kind kind = store_call_kind::read;
        core::time_point issued_at;
        std::uint64_t expected_version = 0;
        claim_slot proposal;
    };

    /// Content of the slot at a version.
    struct known_content
    {
        claim_slot content;
        std::uint64_t version = 0;   ///< Zero when the object does not exist.
        core::time_point current_at; ///< A time at which the store held this version.
    };

    struct known_generation
    {
        std::uint64_t number = 0;
        core::time_point since; ///< A time no earlier than the begin of the generation.
    };

    /// A write that is being put together.
    struct draft
    {
        claim_changes changes;
        slot_growth growth;
        std::set<process_id> new_processes;
    };

    void accept(core::time_point now, task added, claim_outbox& out);
    void proceed(core::time_point now, claim_outbox& out);
    void commit(core::time_point now, claim_outbox& out);
    void expire(core::time_point now, claim_outbox& out);
    void read(core::time_point now, claim_outbox& out);
    void write(core::time_point now, const claim_changes& changes, bool ends_generation, claim_outbox& out);
    void finish_read(core::time_point now, const store_result& result);
    void finish_write(core::time_point now, const store_result& result, claim_outbox& out);
    void fail(core::time_point now);
    void note_generation(core::time_point now);

    decision decide(const task& asked, const draft& planned) const;
    decision decide_claim(const task& asked, const draft& planned) const;
    decision decide_update(const task& asked, const draft& planned) const;
    std::optional<claim_change> held(const claim_key& key, const draft& planned) const;
    bool has_room(const task& asked, const draft& planned, std::size_t new_records) const;
    void add(draft& planned, const claim_key& key, const claim_change& change) const;
    void answer(const task& answered, const claim_message& message, claim_outbox& out);
    void forget_writes(bool may_take_effect);
    bool generation_due(core::time_point now) const;

    committer_context* context;
    std::size_t slot;
    bool routed = false;
    std::vector<task> waiting; ///< In order of arrival.
    std::set<std::pair<claim_token, task_kind>> waiting_ids;
    std::optional<call_in_flight> call;
    std::optional<known_content> view;
    std::optional<known_generation> generation;
    /// Version that a write of unknown fate expects. It can take effect only while the object has it.
    std::optional<std::uint64_t> unsettled_version;
    std::optional<operation_id> unsettled_operation;
    core::duration backoff{0};
    core::time_point next_read_at{core::duration::min()};
    core::time_point next_write_at{core::duration::min()};
    core::time_point last_used_at{};
};

} // namespace laburnumreach::idempotency

#endif
