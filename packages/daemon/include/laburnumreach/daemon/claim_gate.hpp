#ifndef LABURNUMREACH_DAEMON_CLAIM_GATE_HPP
#define LABURNUMREACH_DAEMON_CLAIM_GATE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/idempotency/answer_cache.hpp"
#include "laburnumreach/idempotency/claim_client.hpp"
#include "laburnumreach/idempotency/claim_committer.hpp"
#include "laburnumreach/idempotency/claim_router.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::daemon
{

/// Lets traffic threads wait for claims that the control thread obtains. Thread safe.
class claim_gate
{
public:
    /// @param self this process
    /// @param is_running says whether a process is running, from the membership
    /// @param notify asks the control thread to call exchange
    claim_gate(idempotency::process_id self, idempotency::claim_committer::running_predicate is_running,
               std::function<void()> notify);

    /// Asks for a claim and waits for the decision.
    /// @param caller_gone ends the wait early when it returns true
    idempotency::claim_decision acquire(const idempotency::claim_key& key,
                                        const std::function<bool()>& caller_gone);

    /// Reports that a granted request ran or may have run, with its answer if there is a whole one.
    void finish(const idempotency::claim_key& key, std::uint64_t sequence,
                const idempotency::recorded_answer* answer);

    /// Reports that a granted request is proven not run.
    void release(std::uint64_t sequence);

    /// Returns the recorded answer of a request that this daemon ran, or null.
    std::shared_ptr<const idempotency::recorded_answer> find_answer(const idempotency::claim_key& key);

    /// Messages and store calls that the control thread is to carry out.
    struct outbox
    {
        std::vector<idempotency::outgoing_claim_message> messages;
        std::vector<idempotency::store_call> calls;
    };

    /// The functions below are called by the control thread only.
    void set_members(std::span<const std::string> members);
    void receive(core::time_point now, const idempotency::claim_message& message);
    void complete(core::time_point now, const idempotency::store_result& result);
    void tick(core::time_point now);
    outbox take_outbox();

private:
    struct wait_state
    {
        bool decided = false;
        idempotency::claim_decision decision;
    };

    void dispatch(idempotency::claim_client_outbox out);
    void dispatch(idempotency::claim_outbox out);

    std::function<void()> notify;
    std::mutex mutex;
    std::condition_variable decided;
    idempotency::process_id self;
    idempotency::claim_router router;
    idempotency::claim_client client;
    idempotency::claim_committer committer;
    idempotency::answer_cache answers;
    std::unordered_map<std::uint64_t, wait_state*> waiting;
    outbox pending;
};

} // namespace laburnumreach::daemon

#endif
