#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_TOKEN_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_TOKEN_HPP

#include <cstdint>
#include <string>
#include <tuple>

namespace laburnumreach::idempotency
{

/// Identifies one run of a daemon process.
struct process_id
{
    /// Random 64-bit number drawn at process start. Two processes with the same daemon id and incarnation
    /// would share tokens and could both be granted one claim, so it must not come from a wall clock.
    std::uint64_t incarnation = 0;
    std::string daemon; ///< Daemon id.

    friend bool operator==(const process_id&, const process_id&) = default;
    friend bool operator<(const process_id& left, const process_id& right) noexcept
    {
        return std::tie(left.incarnation, left.daemon) < std::tie(right.incarnation, right.daemon);
    }
};

/// Identifies the attempt owner of a claim: one caller's request at the daemon that runs it. All tries of
/// that request share the token. A token is used for one claim only.
struct claim_token
{
    process_id owner;
    std::uint64_t sequence = 0; ///< Counts the claims of the process, from one.

    friend bool operator==(const claim_token&, const claim_token&) = default;
    friend bool operator<(const claim_token& left, const claim_token& right) noexcept
    {
        return std::tie(left.owner, left.sequence) < std::tie(right.owner, right.sequence);
    }
};

} // namespace laburnumreach::idempotency

#endif
