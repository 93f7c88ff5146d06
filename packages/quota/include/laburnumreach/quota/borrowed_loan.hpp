#ifndef LABURNUMREACH_QUOTA_BORROWED_LOAN_HPP
#define LABURNUMREACH_QUOTA_BORROWED_LOAN_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/lender_epoch.hpp"
#include "laburnumreach/quota/loan_grant.hpp"

#include <cstdint>

namespace laburnumreach::quota
{

/// The borrower's record of one loan: which grants may still be applied and until when the loan is valid.
struct borrowed_loan
{
    lender_epoch epoch;
    std::uint64_t id = 0; ///< Zero before the first grant.
    std::uint64_t applied_seq = 0;
    core::time_point valid_until{};
    core::duration term{0};

    /// Returns whether the loan is valid.
    bool valid(core::time_point now) const { return this->id != 0 && now < this->valid_until; }

    /// Returns whether a grant belongs to this loan.
    bool same_loan(const lender_epoch& grant_epoch, const loan_grant_item& grant) const
    {
        return this->id != 0 && this->epoch == grant_epoch && this->id == grant.loan_id;
    }

    /// Returns whether a grant is new and its term has not lapsed. Grants of older epochs, of an older loan
    /// and repeated or overtaken grants are not.
    /// @param requested_at when the answered request was sent, on the own clock
    bool accepts(const lender_epoch& grant_epoch, const loan_grant_item& grant, core::time_point requested_at,
                 core::time_point now) const
    {
        if (requested_at + grant.term <= now || grant_epoch < this->epoch)
        {
            return false;
        }
        if (grant_epoch == this->epoch)
        {
            return this->same_loan(grant_epoch, grant) ? grant.seq > this->applied_seq
                                                       : grant.loan_id > this->id;
        }
        return true;
    }

    /// Records a grant that accepts() returned true for.
    void record(const lender_epoch& grant_epoch, const loan_grant_item& grant, core::time_point requested_at)
    {
        this->epoch = grant_epoch;
        this->id = grant.loan_id;
        this->applied_seq = grant.seq;
        this->term = grant.term;
        this->valid_until = requested_at + grant.term;
    }
};

} // namespace laburnumreach::quota

#endif
