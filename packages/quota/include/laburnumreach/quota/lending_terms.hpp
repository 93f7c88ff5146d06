#ifndef LABURNUMREACH_QUOTA_LENDING_TERMS_HPP
#define LABURNUMREACH_QUOTA_LENDING_TERMS_HPP

#include "laburnumreach/core/time.hpp"

namespace laburnumreach::quota
{

/// Times that lenders and borrowers of the whole fleet must agree on.
struct lending_terms
{
    /// Term of a loan on the borrower's clock, counted from when it sent its request.
    core::duration loan_term = std::chrono::seconds{3};
    /// Term of a daemon's loan while the lender itself borrows from another zone. It must lapse well before
    /// the loan between the zones does, so that the zone can give that back in time.
    core::duration sub_loan_term = std::chrono::milliseconds{1200};
    /// Term of a loan made of a part that is itself borrowed for sub_loan_term.
    core::duration short_loan_term = std::chrono::milliseconds{400};
    /// Added by the side that waits for a lapse, on top of 2% for clocks that run within 1% of real time.
    core::duration grace = std::chrono::milliseconds{250};

    /// Returns the term of loans made of a part that is borrowed for the given term.
    core::duration term_below(core::duration borrowed_for) const
    {
        return borrowed_for >= this->loan_term ? this->sub_loan_term : this->short_loan_term;
    }
};

/// Returns how long the giver of a term waits on its own clock until the term has lapsed on the taker's.
///
/// With both clocks within 1% of real time the taker's term lasts at most 1.0102 x term. The giver's wait
/// lasts at least 1.0099 x term + 0.99 x grace, which is longer for terms up to 800 s.
inline core::duration safe_lapse(core::duration term, core::duration grace)
{
    return term + term / 50 + grace;
}

/// Returns how long a new lender waits after the end of the old lender's authority until all loans have
/// lapsed.
inline core::duration takeover_wait(const lending_terms& terms)
{
    return safe_lapse(terms.loan_term, terms.grace);
}

} // namespace laburnumreach::quota

#endif
