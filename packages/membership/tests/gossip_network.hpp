#ifndef LABURNUMREACH_MEMBERSHIP_TESTS_GOSSIP_NETWORK_HPP
#define LABURNUMREACH_MEMBERSHIP_TESTS_GOSSIP_NETWORK_HPP

#include "laburnumreach/membership/gossip.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumreach::membership
{

/// Delivers gossip messages between members in virtual time, with loss, delay and partitions.
class gossip_network
{
public:
    struct node
    {
        std::string address;
        std::unique_ptr<gossip> member;
        bool running = true;
        std::uint64_t messages_sent = 0;
    };

    explicit gossip_network(std::uint64_t seed) : random(seed) {}

    /// Adds a member, or restarts it with a new record.
    node& add(const std::string& id, const std::vector<std::string>& seeds, std::uint64_t version = 1)
    {
        member_record record{.id = id, .version = version, .zone = "a", .control_address = id};
        record.upstream = instance_state::ready;
        node& added = this->nodes[id];
        added.address = id;
        added.running = true;
        added.member =
            std::make_unique<gossip>(gossip_options{.seeds = seeds}, record,
                                     core::random_source{this->random.below(1ULL << 60U)}, this->now);
        return added;
    }

    /// Sends the messages that a member returned, unless they are lost or cross a partition.
    void send(const std::string& sender, const std::vector<outgoing_gossip>& messages)
    {
        for (const outgoing_gossip& outgoing : messages)
        {
            ++this->nodes.at(sender).messages_sent;
            if (!this->random.chance(this->loss) && !this->partitioned(sender, outgoing.address))
            {
                const core::duration delay = std::chrono::microseconds{500 + this->random.below(3000)};
                this->in_flight.emplace(this->now + delay,
                                        message_in_flight{sender, outgoing.address, outgoing.message});
            }
        }
    }

    /// Advances virtual time.
    void run(core::duration time)
    {
        const core::time_point end = this->now + time;
        while (this->now < end)
        {
            this->now += step;
            this->deliver();
            for (auto& [id, node] : this->nodes)
            {
                if (node.running)
                {
                    this->send(id, node.member->tick(this->now));
                }
            }
        }
    }

    /// Counts running members for which a condition on another member's record holds.
    std::size_t count_observers(const std::string& id,
                                const std::function<bool(const member_record&)>& condition)
    {
        std::size_t count = 0;
        for (auto& [observer, node] : this->nodes)
        {
            const table_entry* entry = node.member->table().find(id);
            if (node.running && observer != id && entry != nullptr && condition(entry->record))
            {
                ++count;
            }
        }
        return count;
    }

    std::map<std::string, node> nodes;
    /// Whether messages from one member to another are dropped; asked with their ids.
    std::function<bool(const std::string&, const std::string&)> partitioned =
        [](const std::string&, const std::string&) { return false; };
    /// Probability that a message is lost.
    double loss = 0.0;
    core::time_point now{std::chrono::hours{1}};

private:
    static constexpr core::duration step = std::chrono::milliseconds{10};

    struct message_in_flight
    {
        std::string sender;
        std::string receiver;
        gossip_message message;
    };

    void deliver()
    {
        while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->now)
        {
            const message_in_flight arrived = this->in_flight.begin()->second;
            this->in_flight.erase(this->in_flight.begin());
            const auto receiver = this->nodes.find(arrived.receiver);
            if (receiver != this->nodes.end() && receiver->second.running)
            {
                this->send(arrived.receiver, receiver->second.member->receive(
                                                 this->now, arrived.sender, arrived.sender, arrived.message));
            }
        }
    }

    core::random_source random;
    std::multimap<core::time_point, message_in_flight> in_flight;
};

} // namespace laburnumreach::membership

#endif
