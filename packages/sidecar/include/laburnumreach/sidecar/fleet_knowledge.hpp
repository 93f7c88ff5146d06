#ifndef LABURNUMREACH_SIDECAR_FLEET_KNOWLEDGE_HPP
#define LABURNUMREACH_SIDECAR_FLEET_KNOWLEDGE_HPP

#include "laburnumreach/sidecar/frame_stream.hpp"
#include "laburnumreach/sidecar/member_table.hpp"

#include <functional>
#include <string>

namespace laburnumreach::sidecar
{

/// What all daemons come to know: the members and the newest configuration. Differences are found by the
/// version and the digest in each probe and are repaired by sending the whole table or document.
class fleet_knowledge
{
public:
    explicit fleet_knowledge(member_record own_record);

    const member_record& own() const noexcept { return this->self; }
    const member_table& members() const noexcept { return this->table; }
    std::uint64_t config_version() const noexcept { return this->version; }
    std::uint64_t digest() const { return this->table.digest(this->self); }

    /// Marks this process as ending; its record then tells others.
    void mark_left() { this->self.left = true; }

    /// Merges records.
    void merge(std::span<const member_record> records);

    /// Takes over a configuration unless it is older than the known one.
    /// @returns whether it is new here
    bool offer_config(std::uint64_t offered_version, const std::string& text);

    /// Sends what a peer with this version and digest lacks.
    void repair(frame_stream& stream, std::uint64_t peer_version, std::uint64_t peer_digest) const;

    /// Handles a config or members frame.
    /// @returns whether the frame was of one of these types
    bool handle(frame_type type, std::span<const std::uint8_t> body);

    std::function<void()> members_changed;
    /// Decodes and applies a document.
    /// @returns false when it cannot be decoded
    std::function<bool(const std::string& document)> config_received;

private:
    member_record self;
    member_table table;
    std::uint64_t version = 0;
    std::string document;
};

} // namespace laburnumreach::sidecar

#endif
