#ifndef LABURNUMREACH_QUOTA_SUCCESSOR_PROMISE_HPP
#define LABURNUMREACH_QUOTA_SUCCESSOR_PROMISE_HPP

#include "laburnumreach/quota/handover.hpp"
#include "laburnumreach/quota/promise.hpp"
#include "laburnumreach/quota/request_log.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnumreach::quota
{

/// The successor's side of the authority of a zone's lender.
///
/// A daemon has one for its zone from its start, and answers every request, whether or not the record names
/// it. The record names the successor with its incarnation: a restarted daemon has forgotten its promises and
/// is not the successor any more.
class successor_promise
{
public:
    /// What a daemon may do in its zone.
    enum class role : std::uint8_t
    {
        following,  ///< Promises, and may take over when no promise holds.
        attempting, ///< A takeover was sent to the platform and its result is not known. Promises nothing.
        holding,    ///< Took over, through the platform or by handover.
        released,   ///< Gave its right up for good.
    };

    successor_promise(std::string own_zone, daemon_ref own_ref, authority_terms settings);

    /// Answers a request for a promise.
    /// @returns nothing when this daemon cannot promise
    std::optional<promise_answer> receive(const promise_request& request, core::time_point now);

    /// Gives up the right to take over for good, for a graceful stop.
    /// @returns the message to the lender, empty when none has asked yet; the role tells whether the right
    /// was given up,
    ///          which is not possible during an attempt
    std::optional<promise_answer> release();

    /// Returns when this daemon may try to take over.
    /// @param record_first_seen when this daemon first saw the present version of the zone record, which
    /// names it with
    ///        its incarnation as the successor
    core::time_point may_take_over_after(core::time_point record_first_seen) const;

    /// Starts an attempt. Call it before the conditional update is sent.
    /// @returns false when it is not allowed now
    bool begin_takeover(core::time_point record_first_seen, core::time_point now);

    /// Ends an attempt that certainly did not and will not take effect.
    void takeover_failed();

    /// Ends an attempt that won: the response says so or the record was read back.
    /// @param epoch the own epoch in the record
    void takeover_won(const lender_epoch& epoch);

    /// Result of accept().
    struct acceptance
    {
        lender_epoch epoch;       ///< Of the new lender.
        core::time_point until{}; ///< For lender_authority::from_handover.
    };

    /// Takes the role over from a lender that has stopped for good. The caller answers repeated handovers
    /// likewise.
    /// @returns nothing when this daemon may not
    std::optional<acceptance> accept(const handover& message);

    /// Ends the role of holder, when the lender has stopped or lost the record.
    void resign();

    role current_role() const { return this->state; }

private:
    std::string zone;
    daemon_ref self;
    authority_terms terms;
    role state = role::following;
    core::time_point promised_until = core::time_point::min();
    lender_epoch newest_epoch; // a lender of an older epoch has lost the record
    std::optional<promise_answer> last_answer;
    request_log answers;
};

} // namespace laburnumreach::quota

#endif
