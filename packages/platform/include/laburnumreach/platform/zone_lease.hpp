#ifndef LABURNUMREACH_PLATFORM_ZONE_LEASE_HPP
#define LABURNUMREACH_PLATFORM_ZONE_LEASE_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/platform/object_store.hpp"
#include "laburnumreach/platform/zone_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::platform
{

/// Settings of a zone_lease.
struct zone_lease_options
{
    std::string zone;
    std::string daemon_id;
    std::uint64_t incarnation = 0; ///< Differs between runs of the same daemon.
    core::duration term = std::chrono::seconds{6};
    core::duration renewal_interval = std::chrono::seconds{2};
    core::duration observation_interval = std::chrono::seconds{2}; ///< Between reads of a candidate.
    /// Time that others wait when a successor is named: the holder may go on under the successor's promises.
    core::duration successor_priority = std::chrono::minutes{10};
    core::duration first_retry = std::chrono::milliseconds{250};
    core::duration longest_retry = std::chrono::seconds{4};
};

/// What the daemon is to the zone record.
enum class lease_state : std::uint8_t
{
    not_holder,
    holder, ///< The record names this daemon and its term runs.
    lapsed, ///< The record named this daemon when last seen, but its term ran out.
};

/// A platform call that the lease wants.
struct zone_call
{
    enum class kind : std::uint8_t
    {
        read,
        write,
    };

    kind type = kind::read;
    std::string name;
    write_condition condition; ///< Only of a write.
    std::string value;         ///< Only of a write.
};

/// State machine of the lease of one zone record. It makes no calls itself: poll returns the wanted call, and
/// on_read or on_write takes its result. Deterministic and not thread safe.
///
/// Safety: a holder counts its term from before it sent the write. A candidate counts from after a read first
/// showed the version, and then adds clock_error and answer_margin. So the holder's term has run out on its
/// own clock before a candidate's conditional write can succeed, whatever was delayed, lost or paused.
class zone_lease
{
public:
    /// Part of a term that two clocks may drift apart.
    static constexpr double clock_error = 0.02;
    /// Covers the time between the check of the clock and the act that follows it.
    static constexpr core::duration answer_margin = std::chrono::milliseconds{250};

    explicit zone_lease(zone_lease_options given);

    /// Returns the platform call that is due, if any. Its result must be passed to on_read or on_write before
    /// poll returns another one.
    /// @param now time before the call is sent
    std::optional<zone_call> poll(core::time_point now, core::random_source& random);

    /// Takes the result of a read.
    /// @param now time after the result arrived
    void on_read(core::time_point now, const core::result<object>& result, core::random_source& random);

    /// Takes the result of a write.
    /// @param now time after the result arrived
    void on_write(core::time_point now, const core::result<object_version>& result,
                  core::random_source& random);

    /// Takes a record that was read elsewhere, such as in a list of all zone records.
    void observe(core::time_point now, const object& current);

    /// Sets whether this daemon reads the record and takes it over when the rules allow. A holder stays one.
    void set_candidate(bool value);

    /// Names the daemon that may take over; written with the next renewal.
    void set_successor(std::string id);

    /// Sets the member sample; written with the next renewal. Only the first max_members are kept.
    void set_members(std::vector<std::string> addresses);

    /// Sets the revisions in use; written with the next renewal. Before the first call, a takeover keeps
    /// those of the record that it replaces.
    void set_revisions(std::vector<listed_revision> listed);

    /// Forbids a takeover before this time: the successor's promise to the holder.
    void set_promise_until(core::time_point until) { this->promise_until = until; }

    /// Gives the role up: from now on the state is not_holder, and poll writes a record without a holder.
    void release();

    /// Returns whether a release still waits to be written.
    bool releasing() const noexcept { return this->release_wanted && this->holding; }

    /// Returns the state at a time. It must be asked again after every wait, since a pause may outlast the
    /// term.
    lease_state state(core::time_point now) const noexcept;

    /// Returns the end of the term on this daemon's clock, also when it has passed; no value unless the
    /// record names this daemon.
    std::optional<core::time_point> holder_valid_until() const noexcept;

    /// Returns the successor that every write that may be in force names, or an empty name. Only this
    /// daemon's promise can keep others from taking over.
    std::string confirmed_successor() const;

    /// Returns the newest record seen or written; no value when it is absent, damaged or was never read.
    const std::optional<zone_record>& record() const noexcept { return this->seen.record; }

    /// Returns the version of the newest record, or 0.
    object_version version() const noexcept { return this->seen.version; }

    /// Returns when poll may want the next call; no value when it wants none.
    std::optional<core::time_point> next_call() const noexcept;

private:
    enum class presence : std::uint8_t
    {
        unread,
        absent,
        present,
    };

    struct observation
    {
        presence known = presence::unread;
        object_version version = 0;
        std::optional<zone_record> record;
        core::time_point unchanged_since;
        std::uint64_t greatest_epoch = 0;
    };

    /// A write whose effect is not known yet.
    struct sent_write
    {
        object_version replaced = 0; ///< Version in its condition; 0 when it creates the object.
        zone_record record;
        core::time_point sent_at;
    };

    bool wants_calls() const noexcept;
    bool is_own(const zone_record& record) const noexcept;
    bool may_act() const noexcept;
    core::duration observer_wait() const noexcept;
    core::time_point takeover_time() const noexcept;
    zone_call start_write(core::time_point now, zone_record record);
    zone_record renewed_record() const;
    void see(core::time_point now, object_version version, std::optional<zone_record> record);
    void see_absent(core::time_point now);
    void schedule_after_read(core::time_point now, core::random_source& random);
    void schedule_retry(core::time_point now, std::uint32_t failures, core::random_source& random);

    zone_lease_options options;
    observation seen;
    std::vector<sent_write> unconfirmed; ///< Includes the write in flight.
    std::optional<zone_call::kind> in_flight;
    std::string flight_operation_id; ///< Of the write in flight.
    core::time_point next_action;
    core::time_point valid_until;
    core::time_point last_sent;
    core::time_point promise_until;
    std::string successor;
    std::vector<std::string> members;
    std::optional<std::vector<listed_revision>> revisions;
    std::uint32_t failed_calls = 0;  ///< Calls in a row that the platform did not answer.
    std::uint32_t failed_writes = 0; ///< Writes since the version last changed that were not confirmed.
    bool must_read = true;
    bool candidate = false;
    bool holding = false; ///< The newest record names this daemon and incarnation.
    bool release_wanted = false;
};

} // namespace laburnumreach::platform

#endif
