#ifndef LABURNUMREACH_IDEMPOTENCY_REFUSED_CLAIMS_HPP
#define LABURNUMREACH_IDEMPOTENCY_REFUSED_CLAIMS_HPP

#include "laburnumreach/idempotency/claim_message.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace laburnumreach::idempotency
{

/// Remembers the last tokens that were refused or released.
///
/// A late repeat of such a request gets the same answer again. Without this it could claim a key that became
/// free since; if the grant were lost then, nobody would know that the claim must be released, and the key
/// would stay refused until the record ages out. Safety does not depend on it.
class refused_claims
{
public:
    /// @param most tokens to remember
    explicit refused_claims(std::size_t most) : capacity(most) {}

    /// Remembers a refusal, unless one of the token is known already.
    void add(const claim_response& refusal);

    /// Returns the refusal of a token, or null.
    const claim_response* find(const claim_token& token) const;

private:
    std::size_t capacity;
    std::map<claim_token, claim_response> refusals;
    std::deque<claim_token> order; ///< Oldest first.
};

} // namespace laburnumreach::idempotency

#endif
