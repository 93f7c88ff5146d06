#ifndef LABURNUMREACH_MEMBERSHIP_MEMBER_RECORD_HPP
#define LABURNUMREACH_MEMBERSHIP_MEMBER_RECORD_HPP

#include <cstdint>
#include <string>

namespace laburnumreach::membership
{

/// Liveness of a member. For equal versions the greater value wins a merge.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< Did not answer a probe; gets no new calls until it refutes the suspicion.
    dead,
    left, ///< Announced that it leaves the fleet.
};

/// State of the upstream instance beside a daemon.
enum class instance_state : std::uint8_t
{
    none, ///< No upstream has announced itself.
    ready,
    draining,
};

/// State of one daemon and of the upstream beside it, as shared in the fleet.
struct member_record
{
    std::string id;
    std::uint64_t incarnation = 0; ///< Random number that differs for each start of the process.
    /// Orders the records of one member. Only the member itself increases it.
    std::uint64_t version = 0;
    member_state state = member_state::alive;
    std::string zone;
    std::string region;
    std::string control_address;
    std::string peer_address;
    std::string caller_address;
    std::string service;
    std::string instance;
    std::uint32_t slots = 0;
    instance_state upstream = instance_state::none;
    std::uint64_t lender_epoch = 0; ///< Epoch of the zone lease that it holds as lender; otherwise zero.

    friend bool operator==(const member_record&, const member_record&) = default;
};

/// Returns whether the upstream beside the member may get new calls.
inline bool accepts_work(const member_record& member)
{
    return member.state == member_state::alive && member.upstream == instance_state::ready;
}

} // namespace laburnumreach::membership

#endif
