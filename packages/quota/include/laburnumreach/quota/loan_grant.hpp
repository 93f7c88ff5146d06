#ifndef LABURNUMREACH_QUOTA_LOAN_GRANT_HPP
#define LABURNUMREACH_QUOTA_LOAN_GRANT_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/daemon_ref.hpp"
#include "laburnumreach/quota/lender_epoch.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::quota
{

/// The lender's answer for one tenant. It creates, extends, raises or shrinks one loan.
struct loan_grant_item
{
    std::string tenant;
    std::uint64_t loan_id = 0;
    std::uint64_t seq = 0;     ///< Grows with each grant of this loan; an older or equal one is ignored.
    std::int64_t rate = 0;     ///< The whole rate of the loan from now on.
    std::int64_t capacity = 0; ///< The whole capacity of the loan from now on.
    std::int64_t tokens = 0;   ///< Tokens added by this grant.
    core::duration term{0};    ///< Counted from when the borrower sent the request.
    bool one_shot = false;     ///< To be given back as soon as its tokens are spent.
    /// Not zero when the lender has nothing more to give; advises when to ask again.
    core::duration denied_for{0};

    friend bool operator==(const loan_grant_item&, const loan_grant_item&) = default;
};

/// Answer of a zone's lender to a loan_request.
struct loan_grant
{
    std::string lender_zone;
    lender_epoch epoch;
    daemon_ref receiver;
    bool to_lender = false;
    lender_epoch receiver_epoch;      ///< The sender_epoch of the request.
    std::uint64_t request_number = 0; ///< The request answered; its sending time starts the term.
    std::vector<loan_grant_item> items;

    friend bool operator==(const loan_grant&, const loan_grant&) = default;
};

} // namespace laburnumreach::quota

#endif
