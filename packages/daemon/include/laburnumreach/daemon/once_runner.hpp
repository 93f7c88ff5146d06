#ifndef LABURNUMREACH_DAEMON_ONCE_RUNNER_HPP
#define LABURNUMREACH_DAEMON_ONCE_RUNNER_HPP

#include "laburnumreach/daemon/daemon_state.hpp"
#include "laburnumreach/idempotency/claim_key.hpp"

#include <memory>

namespace laburnumreach::daemon
{

/// Runs non-idempotent requests at most once, by claims on their idempotency keys. Thread safe.
class once_runner
{
public:
    explicit once_runner(daemon_state& shared) : state(shared) {}

    /// Returns whether the headers hold exactly one valid Idempotency-Key.
    static bool has_valid_key(const http::headers& fields);

    /// Claims the request's key, forwards the request if the claim is granted, and records how it ended.
    /// A duplicate gets the recorded answer where it is still held.
    call_outcome run(const std::shared_ptr<call_context>& call, const forwarded_request& request);

private:
    call_outcome answer_duplicate(const call_context& call, const idempotency::claim_key& key,
                                  const idempotency::claim_decision& decision);
    call_outcome fetch_answer(const call_context& call, const idempotency::claim_key& key,
                              const idempotency::process_id& holder);

    daemon_state& state;
};

/// Path below the listener for other daemons where recorded answers are read; the claim key in hex digits
/// follows.
inline constexpr std::string_view recorded_answer_path = "/laburnum/recorded-answer/";

/// Returns the hex digits of a claim key.
std::string to_hex(const idempotency::claim_key& key);

/// Parses the hex digits of a claim key.
std::optional<idempotency::claim_key> parse_claim_key(std::string_view hex);

} // namespace laburnumreach::daemon

#endif
