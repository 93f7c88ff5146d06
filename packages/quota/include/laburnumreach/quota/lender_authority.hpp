#ifndef LABURNUMREACH_QUOTA_LENDER_AUTHORITY_HPP
#define LABURNUMREACH_QUOTA_LENDER_AUTHORITY_HPP

#include "laburnumreach/quota/handover.hpp"
#include "laburnumreach/quota/promise.hpp"
#include "laburnumreach/quota/request_log.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::quota
{

/// Says until when the holder of a zone record may lend.
///
/// The platform may hold the last confirmed record or any later one whose write was sent and not yet
/// confirmed or rejected. Each of them must forbid a takeover, so the authority lasts until the earliest end
/// over all of them: a record without a successor until its lease term has passed since the write was sent,
/// and a record with a successor until that successor's promise lapses. Every takeover is a conditional
/// update of one of these records.
///
/// A write is sent only for the newest version that is known. A confirmed write rules out all earlier ones.
class lender_authority
{
public:
    /// @param self the holder of the record
    lender_authority(std::string own_zone, daemon_ref own_ref, lender_epoch own_epoch,
                     authority_terms settings);

    /// Starts from a handover that successor_promise accepted. Nobody else may take over until this daemon
    /// writes a record.
    /// @param until from successor_promise::accept
    static lender_authority from_handover(std::string own_zone, daemon_ref own_ref, lender_epoch own_epoch,
                                          authority_terms settings, core::time_point until);

    /// Asks this daemon for promises too, so that a record may name it without a gap.
    void set_candidate(std::optional<daemon_ref> daemon) { this->candidate = std::move(daemon); }

    /// Records that a write of the zone record is about to be sent. Call it before sending.
    /// @param write grows with each write
    /// @param successor named in the record
    void write_sent(std::uint64_t write, std::optional<daemon_ref> successor, core::time_point now);

    /// Records that the platform held the record of this write after it was sent: the response says so or the
    /// record was read back.
    void write_confirmed(std::uint64_t write);

    /// Records that a write certainly never takes effect (precondition failed, or it was never sent).
    void write_rejected(std::uint64_t write);

    /// Records that the zone record names another holder. Ends the authority for good.
    void lost() { this->ended = true; }

    /// Ends the authority for good, for a handover or a stop.
    void end() { this->ended = true; }

    /// Returns the requests for promises that are due.
    std::vector<promise_request> poll(core::time_point now);

    /// Takes a promise.
    void receive(const promise_answer& answer, core::time_point now);

    /// Returns until when a daemon promised; time_point::min() without a promise.
    core::time_point promised_until(const daemon_ref& daemon) const;

    /// Returns the end of the authority; time_point::min() without any.
    core::time_point valid_until() const;

    /// Returns the daemon to hand over to: the successor, when the record that names it is certain.
    std::optional<daemon_ref> handover_target() const;

    /// Fills promise_number and authority_lasts of a handover.
    void describe(handover& message) const;

private:
    struct possible_record
    {
        std::uint64_t write = 0;
        std::optional<daemon_ref> successor;
        core::time_point sent_at{};
        core::time_point own_limit = core::time_point::max(); // for a record inherited by handover
        bool inherited = false;
    };

    struct promise_state
    {
        request_log requests;
        core::time_point next_ask{};
        core::time_point until = core::time_point::min();
        std::uint64_t last_number = 0;
        core::time_point received_at{};
    };

    core::time_point end_of(const possible_record& record) const;

    std::string zone;
    daemon_ref self;
    lender_epoch epoch;
    authority_terms terms;
    std::optional<daemon_ref> candidate;
    std::vector<possible_record> records; // ascending by write
    std::map<daemon_ref, promise_state> promises;
    bool confirmed = false;
    bool ended = false;
};

} // namespace laburnumreach::quota

#endif
