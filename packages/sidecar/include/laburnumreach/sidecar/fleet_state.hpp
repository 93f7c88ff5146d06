#ifndef LABURNUMREACH_SIDECAR_FLEET_STATE_HPP
#define LABURNUMREACH_SIDECAR_FLEET_STATE_HPP

#include "laburnumreach/sidecar/config_fetch_policy.hpp"
#include "laburnumreach/sidecar/config_origin.hpp"
#include "laburnumreach/sidecar/frame_stream.hpp"
#include "laburnumreach/sidecar/member_table.hpp"

#include <functional>
#include <optional>
#include <string>

namespace laburnumreach::sidecar
{

/// State of the synchronization with a peer on one connection.
struct peer_sync_state
{
    /// Time since which the member table of the peer differs from the local one; no value while they are
    /// equal.
    std::optional<core::time_point> differs_since;
};

/// State that is replicated to all daemons: the members and the newest configuration. Daemons detect
/// differences by the version and the digest in each probe (anti-entropy). A newer configuration is fetched
/// from one peer. The whole member table is sent only if a difference persists, since each daemon also sends
/// its record in the hello and welcome messages of a connection.
class fleet_state
{
public:
    explicit fleet_state(member_record own_record);

    const member_record& own() const noexcept { return this->own_member; }
    const member_table& members() const noexcept { return this->table; }
    std::uint64_t config_version() const noexcept { return this->version; }
    std::uint32_t digest() const { return this->table.digest(this->own_member); }

    /// Marks this daemon as gone in its member record, which the caller sends to the others.
    void mark_left() { this->own_member.left = true; }

    /// Merges member records; calls members_changed if the table changed.
    void merge(std::span<const member_record> records);

    /// Applies a configuration if it is newer than the current one and can be decoded.
    /// @returns whether it was applied
    bool offer_config(std::uint64_t offered_version, const std::string& text,
                      const config_origin& origin = {});

    /// Compares the local state with the version and digest of a peer. Requests a newer configuration from
    /// the peer, and sends it the member table if a difference persists.
    void reconcile(frame_stream& stream, peer_sync_state& peer_state, const std::string& peer_zone,
                   std::uint64_t peer_version, std::uint32_t peer_digest, core::time_point now);

    /// Sets whether this daemon sends its member table to daemons of other zones; only a few daemons of each
    /// zone do.
    void set_cross_zone_repair(bool value) { this->cross_zone_repair = value; }

    /// Handles a frame that requests or carries a configuration or members.
    /// @param sender id of the daemon that sent it
    /// @returns whether the frame was of one of these types
    bool handle(frame_stream& stream, const std::string& sender, frame_type type,
                std::span<const std::uint8_t> body);

    std::function<void()> members_changed;
    /// Decodes and applies a document.
    /// @returns false when it cannot be decoded
    std::function<bool(const std::string& document, const config_origin& origin)> config_received;

private:
    /// Time for which the member tables must differ before the table is sent. The hello messages of a daemon
    /// that starts or reconnects reach all others sooner.
    static constexpr core::duration repair_delay = std::chrono::seconds{2};

    member_record own_member;
    member_table table;
    std::uint64_t version = 0;
    std::string document;
    config_fetch_policy fetch_policy;
    bool cross_zone_repair = true;
};

} // namespace laburnumreach::sidecar

#endif
