#ifndef LABURNUMREACH_SIDECAR_FLEET_STATE_HPP
#define LABURNUMREACH_SIDECAR_FLEET_STATE_HPP

#include "laburnumreach/sidecar/config_fetch_policy.hpp"
#include "laburnumreach/sidecar/frame_stream.hpp"
#include "laburnumreach/sidecar/member_table.hpp"

#include <functional>
#include <optional>
#include <string>

namespace laburnumreach::sidecar
{

/// What a peer told of its knowledge on one connection.
struct peer_sync_state
{
    /// Since when its members differ from the own ones; no value while they are the same.
    std::optional<core::time_point> differs_since;
};

/// What all daemons come to know: the members and the newest configuration. Differences are found by the
/// version and the digest in each probe. A newer configuration is fetched from one peer; the whole table of
/// members is sent when a difference lasts, since greetings spread the record of each daemon.
class fleet_state
{
public:
    explicit fleet_state(member_record own_record);

    const member_record& own() const noexcept { return this->self; }
    const member_table& members() const noexcept { return this->table; }
    std::uint64_t config_version() const noexcept { return this->version; }
    std::uint32_t digest() const { return this->table.digest(this->self); }

    /// Marks this process as ending; its record then tells others.
    void mark_left() { this->self.left = true; }

    /// Merges records.
    void merge(std::span<const member_record> records);

    /// Takes over a configuration unless it is older than the known one.
    /// @returns whether it is new here
    bool offer_config(std::uint64_t offered_version, const std::string& text);

    /// Compares the own knowledge with a version and a digest that a peer told, and asks for or sends what
    /// one of both lacks.
    void reconcile(frame_stream& stream, peer_sync_state& view, const std::string& peer_zone,
                   std::uint64_t peer_version, std::uint32_t peer_digest, core::time_point now);

    /// Sets whether this daemon repairs the members of other zones; a few daemons of each zone do.
    void set_cross_zone_repair(bool value) { this->cross_zone_repair = value; }

    /// Handles a frame that asks for or carries knowledge.
    /// @returns whether the frame was of one of these types
    bool handle(frame_stream& stream, frame_type type, std::span<const std::uint8_t> body);

    std::function<void()> members_changed;
    /// Decodes and applies a document.
    /// @returns false when it cannot be decoded
    std::function<bool(const std::string& document)> config_received;

private:
    /// Time for which members must differ before the table is sent: greetings of a daemon that starts or
    /// comes back reach all others sooner.
    static constexpr core::duration repair_delay = std::chrono::seconds{2};

    member_record self;
    member_table table;
    std::uint64_t version = 0;
    std::string document;
    config_fetch_policy fetch;
    bool cross_zone_repair = true;
};

} // namespace laburnumreach::sidecar

#endif
