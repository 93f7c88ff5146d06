#ifndef LABURNUMREACH_CAPACITY_BENCH_GOSSIP_FLEET_HPP
#define LABURNUMREACH_CAPACITY_BENCH_GOSSIP_FLEET_HPP

#include "laburnumreach/core/random_source.hpp"
#include "laburnumreach/membership/gossip.hpp"
#include "laburnumreach/protocol/message_authenticator.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::capacity_bench
{

/// Traffic of a gossip_fleet since its last reset.
struct gossip_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t most_bytes_of_member = 0; ///< Sent and received by the busiest member.
    double processor_seconds = 0.0;
    double tick_seconds = 0.0; ///< Part of processor_seconds that went into timers.
    std::uint64_t ticks = 0;
    core::duration time{0};
};

/// Gossip instances on a network in virtual time. Every message is encoded, signed, checked and decoded as in
/// a daemon, so that bytes and processor time include the protocol.
class gossip_fleet
{
public:
    /// Starts members that know each other already.
    gossip_fleet(std::size_t count, std::uint64_t seed);

    /// Empties the queues of updates that the start filled, as hours of uptime would.
    void drain_updates();

    void run_for(core::duration time);

    /// Runs until a condition holds.
    /// @returns the virtual time it took, or a negative time when it did not hold in time
    template <typename Condition>
    core::duration run_until(core::duration most, Condition condition)
    {
        const core::time_point begin = this->now;
        while (!condition())
        {
            if (this->now - begin >= most)
            {
                return core::duration{-1};
            }
            this->run_for(step);
        }
        return this->now - begin;
    }

    /// Stops a member without a message.
    void stop(std::size_t index) { this->members[index].engine.reset(); }

    /// Starts a member anew with an empty table and the first member as seed.
    void restart(std::size_t index);

    /// Changes the record of a member.
    void change(std::size_t index);

    /// Sets the revision of the configuration at one member; the others follow as if they fetched it at once.
    void set_revision(std::size_t index, std::uint64_t revision);
    std::size_t members_with_revision(std::uint64_t revision) const;

    /// Drops messages between the members below and from an index on; zero heals the network.
    void cut_at(std::size_t index) { this->cut = index; }

    /// Returns whether all running members see the members of a range in a state.
    bool all_see(std::size_t begin, std::size_t end, membership::member_state state) const;

    /// Returns whether all running members hold equal tables.
    bool tables_equal() const;

    gossip_traffic take_traffic();
    std::size_t size() const noexcept { return this->members.size(); }

private:
    // The longest that gossip allows; a daemon takes 20 ms. Timers dominate the run time at 700 members.
    static constexpr core::duration step = std::chrono::milliseconds{50};

    struct member
    {
        std::unique_ptr<membership::gossip> engine;
        membership::member_record record;
        std::uint64_t revision = 0;
        std::uint64_t bytes = 0;
    };

    struct packet
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<std::uint8_t> bytes;
    };

    void send(std::size_t from, const std::vector<membership::outgoing_gossip>& messages);
    void deliver(packet&& arrived);
    void follow_revision(std::size_t index);

    protocol::message_authenticator authenticator;
    core::random_source random;
    core::time_point now{std::chrono::hours{1}};
    std::size_t cut = 0;
    std::vector<member> members;
    std::unordered_map<std::string, std::size_t> by_address;
    std::multimap<core::time_point, packet> network;
    gossip_traffic traffic;
    core::time_point traffic_begin = this->now;
};

} // namespace laburnumreach::capacity_bench

#endif
