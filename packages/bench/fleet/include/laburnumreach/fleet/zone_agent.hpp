#ifndef LABURNUMREACH_FLEET_ZONE_AGENT_HPP
#define LABURNUMREACH_FLEET_ZONE_AGENT_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/fleet/zone_record.hpp"
#include "laburnumreach/quota/lender.hpp"
#include "laburnumreach/quota/lender_authority.hpp"
#include "laburnumreach/quota/successor_promise.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnumreach::fleet
{

/// One daemon's part in the role of its zone's lender: renews or takes over the zone record, names successors
/// and hands over. Runs on the daemon's clock and knows the platform only through its callbacks.
class zone_agent
{
public:
    /// What the agent asks of the platform. Either may be lost at any point; on_read and on_write take the
    /// responses.
    struct platform_port
    {
        std::function<void()> read;
        std::function<void(zone_record record, std::uint64_t if_version)> write;
        /// Returns all zones with a record; empty while the first revision of the configuration is the
        /// newest.
        std::function<std::vector<std::string>()> zones_to_ask;
    };

    zone_agent(std::string own_zone, quota::daemon_ref own_ref, quota::authority_terms authority_terms,
               std::int64_t rate_margin_ppm, bool start_full, platform_port port);

    /// Adopts a revision of the configuration.
    void configure(std::shared_ptr<const quota::quota_revision> revision, core::time_point now);

    /// Takes the content of the zone record.
    void on_read(const zone_record& record, core::time_point now);

    /// Takes the response to a write: the new version, or nothing when the precondition failed.
    void on_write(std::uint64_t write, std::optional<std::uint64_t> version, core::time_point now);

    /// Does what is due.
    /// @param peers other daemons of the zone that may become successor
    std::vector<quota::promise_request> poll(const std::vector<quota::daemon_ref>& peers,
                                             core::random_source& random, core::time_point now);

    /// What to send when a daemon stops gracefully.
    struct farewell
    {
        std::optional<quota::handover> passed_on;
        std::optional<quota::promise_answer> released;
    };

    /// Hands over for a graceful stop, or gives up the right to take over.
    farewell stop(core::time_point now);

    /// Takes a handover.
    void accept(const quota::handover& message, core::time_point now);

    /// Answers a request for a promise.
    std::optional<quota::promise_answer> receive(const quota::promise_request& request, core::time_point now)
    {
        return this->promise.receive(request, now);
    }

    /// Takes a promise.
    void receive(const quota::promise_answer& answer, core::time_point now);

    /// Returns the lender while this daemon has one, otherwise null.
    quota::lender* lender() { return this->active.get(); }

    /// Returns whether this daemon may lend now.
    bool has_authority(core::time_point now) const;

private:
    void send_write(core::time_point now);
    void start_lender(quota::lender_epoch epoch, core::time_point start_after, bool full,
                      core::time_point now);
    void configure_lender(core::time_point now);
    void choose_successor(const std::vector<quota::daemon_ref>& peers, core::random_source& random,
                          core::time_point now);
    void lose_role();
    bool attempting() const
    {
        return this->promise.current_role() == quota::successor_promise::role::attempting;
    }

    std::string zone;
    quota::daemon_ref self;
    quota::authority_terms terms;
    std::int64_t margin_ppm;
    bool first_starts_full;
    platform_port platform;

    quota::successor_promise promise;
    std::optional<quota::lender_authority> authority;
    std::unique_ptr<quota::lender> active;
    std::shared_ptr<const quota::quota_revision> newest;
    std::vector<quota::revision_zones> inherited_revisions;
    bool lender_configured = false;

    std::optional<zone_record> seen; // newest version read or written
    core::time_point seen_since{};
    std::optional<zone_record> pending; // write without a response
    std::uint64_t pending_if_version = 0;
    core::time_point pending_since{};
    std::uint64_t next_write = 1;
    core::time_point next_read{};
    bool read_needed = false; // a write was rejected
    core::time_point next_renewal{};
    core::time_point takeover_begun{};
    std::uint64_t own_epoch = 0;
    std::optional<quota::daemon_ref> wanted_successor;
    std::optional<quota::daemon_ref> candidate;
    core::time_point candidate_since{};
    std::optional<quota::daemon_ref> handed_over_by;
    bool stopping = false;
};

} // namespace laburnumreach::fleet

#endif
