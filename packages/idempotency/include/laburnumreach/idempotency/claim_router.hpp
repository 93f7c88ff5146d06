#ifndef LABURNUMREACH_IDEMPOTENCY_CLAIM_ROUTER_HPP
#define LABURNUMREACH_IDEMPOTENCY_CLAIM_ROUTER_HPP

#include "laburnumreach/idempotency/claim_key.hpp"

#include <array>
#include <bitset>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace laburnumreach::idempotency
{

/// Set of slots.
using slot_set = std::bitset<slot_count>;

/// Chooses the committer of each slot by rendezvous hash, so that the claims of one slot go to one daemon
/// and a membership change moves only the slots of the changed member.
///
/// Daemons with different member lists may choose differently; the conditional writes keep that safe.
class claim_router
{
public:
    /// Replaces the members.
    /// @param members daemon ids that take messages, in any order
    void set_members(std::span<const std::string> members);

    /// Returns the daemon id of the committer of a slot; empty without members.
    const std::string& committer_of(std::size_t slot) const { return this->committers.at(slot); }

    /// Returns the slots that a daemon commits.
    slot_set slots_of(std::string_view daemon) const;

private:
    std::array<std::string, slot_count> committers;
};

} // namespace laburnumreach::idempotency

#endif
