#ifndef LABURNUMREACH_QUOTA_TOKEN_BUCKET_HPP
#define LABURNUMREACH_QUOTA_TOKEN_BUCKET_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/part.hpp"

namespace laburnumreach::quota
{

/// A token bucket in integers. Fractions of a micro-token are carried over, and rounding never favours the
/// holder.
///
/// A set of buckets with total rate R and total capacity B admits at most R x T + B in any window, whatever
/// is moved between them, because no operation raises a sum.
class token_bucket
{
public:
    token_bucket() = default;

    /// @param initial tokens above the capacity are dropped
    token_bucket(const part& initial, core::time_point now);

    /// Adds the tokens accrued since the last call. An earlier time than that of the last call adds nothing.
    void accrue(core::time_point now);

    /// Spends one token.
    /// @returns false without effect when less than one token is left
    bool try_spend(core::time_point now);

    /// Removes at most the wanted amounts, and what the rest cannot hold, from this bucket.
    /// @returns what was removed; it accrues nothing until it is absorbed elsewhere
    part split(const part& wanted, core::time_point now);

    /// Adds a part that was split off another bucket.
    void absorb(const part& added, core::time_point now);

    /// Changes rate and capacity.
    /// @returns the tokens (micro-tokens) that no longer fit
    std::int64_t resize(std::int64_t rate, std::int64_t capacity, core::time_point now);

    /// Adds tokens up to the capacity.
    /// @returns the tokens (micro-tokens) that do not fit
    std::int64_t add_tokens(std::int64_t tokens);

    /// Removes at most the given tokens.
    /// @returns the tokens (micro-tokens) removed
    std::int64_t take_tokens(std::int64_t tokens);

    /// Returns the state as of the last call that took a time.
    const part& contents() const { return this->state; }

    /// Returns the wait until the bucket holds the given micro-tokens; duration::max() when it never will.
    core::duration time_until(std::int64_t tokens) const;

private:
    void add_accrued(std::int64_t whole, std::int64_t fraction, std::int64_t room);

    part state;
    std::int64_t remainder = 0; // in 1e-9 micro-tokens
    core::time_point updated{};
};

} // namespace laburnumreach::quota

#endif
