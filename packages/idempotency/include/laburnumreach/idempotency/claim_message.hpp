#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_MESSAGE_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_MESSAGE_HPP

#include "laburnumreach/idempotency/claim_key.hpp"
#include "laburnumreach/idempotency/claim_outcome.hpp"
#include "laburnumreach/idempotency/claim_token.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace laburnumreach::idempotency
{

/// Asks the committer of a slot for a claim. Repetition is harmless: the same token gets the same answer.
struct claim_request
{
    claim_key key;
    claim_token token;

    friend bool operator==(const claim_request&, const claim_request&) = default;
};

/// Answers a claim_request.
struct claim_response
{
    claim_token token;
    claim_outcome outcome = claim_outcome::claim_store_unavailable;
    /// For duplicates: the process that holds the claim and, once finished, may hold the recorded answer.
    process_id holder;
    /// Whether the claim of this token may be, or may yet come to be, in the store. Always true for a grant.
    bool may_be_recorded = true;

    friend bool operator==(const claim_response&, const claim_response&) = default;
};

/// What the owner of a claim reports about it.
enum class claim_update_kind : std::uint8_t
{
    finished, ///< The request ran, or may have run.
    released, ///< Proven not run, and the token will never run it.
};

/// Changes a claim that its owner holds or may hold. Sent until acknowledged.
struct claim_update
{
    claim_key key;
    claim_token token;
    claim_update_kind kind = claim_update_kind::finished;
    /// Counts the reasons to send the update, so that an acknowledgement from before a late grant does not
    /// end the release of that grant.
    std::uint32_t round = 0;

    friend bool operator==(const claim_update&, const claim_update&) = default;
};

/// Says that a claim_update is in the store, or that the store holds no claim of the token.
struct claim_acknowledgement
{
    claim_token token;
    claim_update_kind kind = claim_update_kind::finished;
    std::uint32_t round = 0; ///< Of the update.

    friend bool operator==(const claim_acknowledgement&, const claim_acknowledgement&) = default;
};

/// Any message between daemons about claims.
using claim_message = std::variant<claim_request, claim_response, claim_update, claim_acknowledgement>;

/// A message to send. The receiver may be the sending daemon itself.
struct outgoing_claim_message
{
    std::string daemon; ///< Daemon id of the receiver.
    claim_message message;
};

} // namespace laburnumreach::idempotency

#endif
