#ifndef LABURNUMREACH_MEMBERSHIP_GOSSIP_HPP
#define LABURNUMREACH_MEMBERSHIP_GOSSIP_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/core/time.hpp"
#include "laburnumreach/membership/gossip_message.hpp"
#include "laburnumreach/membership/member_table.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::membership
{

/// Settings of a gossip instance.
struct gossip_options
{
    std::vector<std::string> seeds; ///< Control addresses of members to join through.
    core::duration probe_period = std::chrono::milliseconds{500};
    /// Time from a probe until indirect probes are sent.
    core::duration probe_timeout = std::chrono::milliseconds{200};
    /// Time from a probe until the target is suspected, indirect probes included.
    core::duration suspect_after = std::chrono::milliseconds{450};
    /// Time that a suspected member has to refute the suspicion before it is declared dead.
    core::duration suspicion_timeout = std::chrono::milliseconds{1500};
    /// Every member is probed by this many ring predecessors each period, so detection does not depend on
    /// chance.
    std::size_t ring_successors = 2;
    /// Members drawn at random, with repetition, to relay an indirect probe.
    std::size_t relays = 3;
    /// Members drawn at random, with repetition, to which a change is pushed at once; three reach 700 members
    /// in about six steps.
    std::size_t push_fanout = 3;
    /// Queued updates that are added to each message.
    std::size_t max_updates_per_message = 8;
    /// Shortest time between two digests, to whichever peers have a different table.
    core::duration min_sync_interval = std::chrono::seconds{2};
    /// Dead and left members are kept this long. Dead ones are probed periodically, so that separated regions
    /// find each other again.
    core::duration retention = std::chrono::hours{6};
};

/// A peer that holds a newer configuration.
struct newer_configuration
{
    std::string address; ///< Control address.
    std::uint64_t revision = 0;
};

/// Failure detection and dissemination of member records, based on the SWIM protocol.
///
/// Deterministic: the caller supplies time, randomness and received messages, and sends the returned
/// messages. Not thread safe.
class gossip
{
public:
    /// @param self record of this daemon; its version may have any initial value, such as the wall clock time
    gossip(const gossip_options& options, const member_record& self, core::random_source random,
           core::time_point now);

    /// Runs timers. Call it at least every 50 ms.
    /// @returns messages to send
    std::vector<outgoing_gossip> tick(core::time_point now);

    /// Handles a message.
    /// @param sender_id member id of the sender
    /// @param sender_address control address of the sender
    /// @returns messages to send
    std::vector<outgoing_gossip> receive(core::time_point now, std::string_view sender_id,
                                         std::string_view sender_address, const gossip_message& message);

    /// Changes this daemon's own record. Its version is increased and the change is pushed at once.
    /// @param change function that changes a member_record; id and version are kept
    template <typename Change>
    std::vector<outgoing_gossip> update_self(core::time_point now, Change&& change)
    {
        member_record next = this->self;
        change(next);
        if (next == this->self)
        {
            return {};
        }
        return this->publish_self(now, std::move(next));
    }

    /// Announces that this daemon leaves the fleet.
    std::vector<outgoing_gossip> leave(core::time_point now);

    /// Sets the revision of the configuration in force and pushes it if it increased.
    std::vector<outgoing_gossip> set_configuration_revision(core::time_point now, std::uint64_t revision);

    /// Records that this daemon reached the platform.
    void record_platform_contact(core::time_point now);

    /// Returns how long ago the platform was last reached by any reachable member.
    core::duration platform_contact_age(core::time_point now) const;

    /// Returns how long ago the last message of another member arrived.
    core::duration peer_contact_age(core::time_point now) const { return now - this->last_peer_contact; }

    /// Returns a peer with a newer configuration than this daemon's, if one is known.
    const std::optional<newer_configuration>& configuration_source() const noexcept
    {
        return this->newer_config;
    }

    /// Returns and clears the control addresses that did not answer probes since the last call. Their
    /// connections may be broken without notice and should be reopened.
    std::vector<std::string> take_unresponsive_addresses();

    const member_table& table() const noexcept { return this->members; }
    const member_record& own_record() const noexcept { return this->self; }

private:
    struct pending_probe
    {
        std::string target;
        std::string address;
        core::time_point sent_at;
        bool indirect_sent = false;
    };

    struct relayed_probe
    {
        std::string requester_address;
        std::uint64_t requester_sequence = 0;
        core::time_point sent_at;
    };

    struct pending_update
    {
        std::string id;
        std::size_t sends_left = 0;
    };

    using outbox = std::vector<outgoing_gossip>;

    outbox publish_self(core::time_point now, member_record next);
    void send_probes(core::time_point now, outbox& out);
    void probe(core::time_point now, const member_record& target, outbox& out);
    void check_probes(core::time_point now, outbox& out);
    void check_suspects(core::time_point now, outbox& out);
    void probe_dead_members(core::time_point now, outbox& out);
    bool apply_updates(core::time_point now, const std::vector<member_record>& records, outbox& out);
    bool apply(core::time_point now, const member_record& record, outbox& out);
    void set_state(core::time_point now, std::string_view id, member_state state, outbox& out);
    void queue_update(std::string_view id);
    void push(core::time_point now, outbox& out);
    void answer_digest(core::time_point now, std::string_view address, const gossip_message& message,
                       outbox& out);
    void send_wanted_records(core::time_point now, std::string_view address, const gossip_message& message,
                             outbox& out);
    void send(core::time_point now, std::string_view address, gossip_message message, outbox& out);
    void record_contact(core::time_point now, std::string_view address, const gossip_message& message,
                        outbox& out);
    std::vector<const member_record*> live_members() const;
    std::vector<const member_record*> ring_successors() const;
    std::size_t sends_per_update() const;

    gossip_options options;
    member_record self;
    core::random_source random;
    member_table members;
    std::map<std::uint64_t, pending_probe> pending_probes;
    std::map<std::uint64_t, relayed_probe> relayed_probes;
    std::deque<pending_update> pending_updates;
    std::vector<std::string> unresponsive_addresses;
    std::uint64_t next_sequence = 1;
    core::time_point next_probe_at;
    core::time_point next_dead_probe_at;
    core::time_point next_sync_at;
    core::time_point last_peer_contact;
    core::time_point last_platform_contact;
    std::uint64_t revision = 0;
    std::optional<newer_configuration> newer_config;
};

} // namespace laburnumreach::membership

#endif
