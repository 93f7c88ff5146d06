#ifndef LABURNUMREACH_QUOTA_PROMISE_HPP
#define LABURNUMREACH_QUOTA_PROMISE_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/quota/daemon_ref.hpp"
#include "laburnumreach/quota/lender_epoch.hpp"
#include "laburnumreach/quota/lending_terms.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumreach::quota
{

/// Times of the authority of a zone's lender.
struct authority_terms
{
    /// A record without a successor may be taken over by anyone after it was seen unchanged for this long.
    core::duration lease_term = std::chrono::seconds{6};
    /// Length of one promise. Longer ones survive more lost messages but delay a takeover.
    core::duration promise_term = std::chrono::seconds{4};
    core::duration ask_interval = std::chrono::milliseconds{500};
    core::duration grace = std::chrono::milliseconds{250};
    /// A record that names a successor may be taken over by any other daemon after it was seen unchanged for
    /// safe_lapse(orphan_limit). The lender then stops this long after it sent its last confirmed write,
    /// since it cannot know whether the platform is down for everyone or only for itself. Without a value no
    /// other daemon may ever take over such a record, and lending goes on through an outage of any length.
    std::optional<core::duration> orphan_limit;
};

/// Asks the successor not to take over for a time.
struct promise_request
{
    std::string zone;
    daemon_ref from;
    daemon_ref to;
    lender_epoch epoch;
    std::uint64_t number = 0;
    core::duration term{0};

    friend bool operator==(const promise_request&, const promise_request&) = default;
};

/// The successor's promise.
struct promise_answer
{
    std::string zone;
    daemon_ref from;
    daemon_ref to;
    lender_epoch epoch;
    std::uint64_t number =
        0; ///< The request answered; its sending time starts the term on the lender's clock.
    core::duration term{0};
    bool for_good = false; ///< The successor will never take over.

    friend bool operator==(const promise_answer&, const promise_answer&) = default;
};

/// Returns when a daemon that is not the successor may try to take over a record without a successor.
/// @param first_seen when this daemon first saw the present version of the record
inline core::time_point lease_lapses_at(const authority_terms& terms, core::time_point first_seen)
{
    return first_seen + safe_lapse(terms.lease_term, terms.grace);
}

/// Returns when a daemon that is not the successor may try to take over a record that names one; never
/// without orphan_limit.
/// @param first_seen when this daemon first saw the present version of the record
inline core::time_point orphan_lapses_at(const authority_terms& terms, core::time_point first_seen)
{
    return terms.orphan_limit ? first_seen + safe_lapse(*terms.orphan_limit, terms.grace)
                              : core::time_point::max();
}

} // namespace laburnumreach::quota

#endif
