#ifndef LABURNUMREACH_DAEMON_ZONE_KEEPER_HPP
#define LABURNUMREACH_DAEMON_ZONE_KEEPER_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/platform/zone_lease.hpp"
#include "laburnumreach/protocol/quota_messages.hpp"
#include "laburnumreach/quota/lender.hpp"
#include "laburnumreach/quota/lender_authority.hpp"
#include "laburnumreach/quota/successor_promise.hpp"

#include <cstdint>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::daemon
{

/// Settings of a zone_keeper.
struct zone_keeper_options
{
    std::string zone;
    quota::daemon_ref self;
    quota::lending_terms lending;
    /// A zone is without a lender for about this time after its lender was killed. It costs three platform
    /// writes per zone and term.
    core::duration lease_term = std::chrono::seconds{3};
    /// Shorter than the lease, so that the promise does not delay a takeover.
    core::duration promise_term = std::chrono::milliseconds{2500};
    /// A record that names a successor may be taken over by others only after this time, so lending goes on
    /// that long through an outage of the platform. Losing lender and successor at once stops lending in the
    /// zone for that long, unless an operator releases the zone record.
    core::duration orphan_limit = std::chrono::hours{4};
};

/// A quota message to send.
struct outgoing_quota_message
{
    /// Receiver; without an id it is the lender of `lender_zone`.
    quota::daemon_ref receiver;
    std::string lender_zone;
    protocol::quota_message message;
};

/// This daemon's part in lending its zone's quota: candidate, successor or lender.
///
/// Joins the zone lease in the platform, the promises between lender and successor, and the lender itself, so
/// that lending happens only with authority. Deterministic and not thread safe; platform calls and messages
/// go out as values, and results come in.
class zone_keeper
{
public:
    using outbox = std::vector<outgoing_quota_message>;

    zone_keeper(const zone_keeper_options& options, core::random_source random);

    /// Sets whether this daemon reads the zone record and takes it over when it may. Few daemons of a zone
    /// do, so that the platform calls do not grow with the fleet.
    void set_candidate(bool value);

    /// Returns whether this daemon reads the zone record.
    bool is_candidate() const noexcept { return this->candidate; }

    /// Returns whether the zone record names this process as the successor.
    bool is_successor() const;

    /// Sets the live members of the zone other than this daemon, the preferred successors first.
    void set_zone_members(std::vector<quota::daemon_ref> members, std::vector<std::string> control_addresses);

    /// Adopts the quotas of a configuration.
    void configure(core::time_point now, std::shared_ptr<const quota::quota_revision> revision);

    /// Runs timers. Call it every 10 to 50 ms.
    outbox poll(core::time_point now);

    /// Returns the platform call that is due, if any. Its result must be passed to on_read or on_write.
    std::optional<platform::zone_call> next_platform_call(core::time_point now);
    void on_read(core::time_point now, const core::result<platform::object>& result);
    void on_write(core::time_point now, const core::result<platform::object_version>& result);

    /// Handles a message of another daemon.
    outbox receive(core::time_point now, const protocol::quota_message& message);

    /// Hands the role over, or gives it up, for a graceful stop. Call poll and the platform calls on until
    /// stopped.
    outbox stop(core::time_point now);

    /// Returns whether nothing is left to hand over or to write.
    bool stopped() const;

    /// Returns the epoch of the zone record while this daemon may lend, else 0.
    std::uint64_t lender_epoch(core::time_point now) const;

    /// Returns until when this daemon may lend; time_point::min() when it may not.
    core::time_point authority_until() const;

private:
    /// A handover is repeated at this interval until it is acknowledged.
    static constexpr core::duration handover_interval = std::chrono::milliseconds{100};

    /// A write of the zone record whose effect is not known yet.
    struct sent_write
    {
        std::uint64_t number = 0;
        std::string operation_id;
        platform::object_version replaced = 0;
        std::uint64_t epoch = 0;
        std::vector<std::uint64_t> revisions;
        bool takeover = false;
    };

    void begin_write(core::time_point now, const platform::zone_call& call, platform::zone_record record,
                     bool takeover);
    void settle_writes(core::time_point now, bool certainly_failed);
    void confirm(core::time_point now, const sent_write& write);
    void reject(const sent_write& write);
    void supersede(const sent_write& write);
    void take_over(core::time_point now, std::uint64_t epoch);
    void start_lender(core::time_point now, quota::lender_options settings, const quota::handover* from);
    void check_role_lost();
    void name_successor(core::time_point now);
    void receive_promise(core::time_point now, const quota::promise_answer& answer);
    void receive_handover(core::time_point now, const quota::handover& message, outbox& out);
    void configure_lender(core::time_point now);
    void collect(quota::lender::output messages, outbox& out) const;
    outgoing_quota_message handover_message() const;
    std::vector<platform::listed_revision> listed_revisions() const;

    zone_keeper_options options;
    quota::authority_terms terms;
    core::random_source random;
    platform::zone_lease lease;
    quota::successor_promise promise;
    std::optional<quota::lender_authority> authority;
    std::unique_ptr<quota::lender> lender;
    std::shared_ptr<const quota::quota_revision> revision;
    /// In use at the lender before, until this daemon's lender is configured.
    std::vector<quota::revision_zones> inherited_revisions;
    std::vector<quota::daemon_ref> members;
    std::optional<quota::daemon_ref> candidate_successor;
    core::time_point candidate_promised_at{};
    std::vector<sent_write> writes;
    std::uint64_t next_write = 1;
    platform::object_version seen_version = 0;
    core::time_point version_seen_at{};
    std::optional<quota::handover> sent_handover;
    core::time_point next_handover_at{};
    /// Epoch of the lender whose handover was accepted.
    std::optional<quota::lender_epoch> accepted_epoch;
    std::optional<quota::daemon_ref> predecessor; ///< The daemon that handed over.
    /// No own write of the record has been confirmed since the handover.
    bool inherited = false;
    bool candidate = false;
    bool handed_over = false;
    bool stopping = false;
};

/// Returns the name under which a process stands in the zone record. A restarted daemon has another one: it
/// forgot the promises that it gave as a successor.
std::string process_name(const quota::daemon_ref& process);

/// Parses a process_name.
std::optional<quota::daemon_ref> parse_process_name(std::string_view name);

} // namespace laburnumreach::daemon

#endif
