#ifndef LABURNUMREACH_QUOTA_LOAN_REQUEST_HPP
#define LABURNUMREACH_QUOTA_LOAN_REQUEST_HPP

#include "laburnumreach/quota/daemon_ref.hpp"
#include "laburnumreach/quota/lender_epoch.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::quota
{

/// What a borrower tells the lender about one tenant. The state fields are absolute, so a lost request does
/// no harm.
struct loan_request_item
{
    std::string tenant;
    lender_epoch epoch;               ///< Epoch of the loan below.
    std::uint64_t loan_id = 0;        ///< Zero when the borrower knows no loan.
    std::uint64_t applied_seq = 0;    ///< Newest grant of this loan that the borrower applied.
    std::int64_t held_rate = 0;       ///< Still held of that grant; the rest is given back.
    std::int64_t held_capacity = 0;   ///< Still held of that grant; the rest is given back.
    std::int64_t held_tokens = 0;     ///< Micro-tokens in the bucket, for the distribution only.
    std::int64_t returned_tokens = 0; ///< Micro-tokens removed from the bucket; counted once per request.
    std::int64_t demand = 0;          ///< Micro-tokens per second, refused requests included.
    std::int64_t wanted_tokens = 0;   ///< Micro-tokens that requests wait for now.

    friend bool operator==(const loan_request_item&, const loan_request_item&) = default;
};

/// Request of a daemon, or of another zone's lender, to the lender of a zone.
struct loan_request
{
    std::string lender_zone;
    std::string sender_zone;
    daemon_ref sender;
    bool from_lender = false;  ///< Sent for a whole zone.
    lender_epoch sender_epoch; ///< Epoch of the sending lender; a daemon may be lender more than once.
    std::uint64_t number = 0;  ///< Grows with each request of this sender to this zone.
    /// Revisions in use at the sending lender; see base_parts. Empty from daemons.
    std::vector<std::uint64_t> revisions;
    std::vector<loan_request_item> items;

    friend bool operator==(const loan_request&, const loan_request&) = default;
};

} // namespace laburnumreach::quota

#endif
