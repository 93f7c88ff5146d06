#ifndef LABURNUMREACH_QUOTA_LENT_LOAN_HPP
#define LABURNUMREACH_QUOTA_LENT_LOAN_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/part.hpp"

#include <cstdint>
#include <vector>

namespace laburnumreach::quota
{

/// The lender's record of one loan.
///
/// Each grant is a level (rate and capacity). Until the borrower acknowledges a level, it may be at any level
/// sent since the last acknowledged one, with the tokens of later grants still to come. The lender counts the
/// worst of these as lent. A level ends when its term has lapsed for certain.
class lent_loan
{
public:
    /// @param id not used before by this lender
    explicit lent_loan(std::uint64_t id) : loan_id(id) {}

    std::uint64_t id() const { return this->loan_id; }

    /// Records that the borrower applied a grant and what it still holds of it. An unknown grant has no
    /// effect.
    void acknowledge(std::uint64_t seq, std::int64_t held_rate, std::int64_t held_capacity);

    /// Records a grant.
    /// @param tokens tokens sent with the grant
    /// @param until when the grant's term has lapsed for certain, on the lender's clock
    /// @returns the sequence number of the grant
    std::uint64_t grant(std::int64_t rate, std::int64_t capacity, std::int64_t tokens,
                        core::time_point until);

    /// Forgets levels whose term has lapsed.
    void drop_lapsed(core::time_point now);

    /// Returns whether the borrower can hold nothing.
    bool empty() const { return this->levels.empty(); }

    /// Returns the most that the borrower may hold after the given time if nothing else is granted; the
    /// tokens are zero. The latest grant always counts.
    part outstanding_after(core::time_point time) const;

    /// Returns the tokens of grants that are not acknowledged yet.
    std::int64_t tokens_in_transit() const;

    /// Returns rate and capacity of the latest grant.
    part latest() const;

    /// Returns when the last level lapses.
    core::time_point lapses_at() const;

private:
    struct level
    {
        std::uint64_t seq;
        std::int64_t rate;
        std::int64_t capacity;
        std::int64_t tokens_in_transit;
        core::time_point until;
    };

    std::uint64_t loan_id;
    std::uint64_t last_seq = 0;
    std::vector<level> levels;
};

} // namespace laburnumreach::quota

#endif
