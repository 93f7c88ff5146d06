#include "gossip_fleet.hpp"

#include "laburnumreach/protocol/control_envelope.hpp"
#include "laburnumreach/protocol/membership_messages.hpp"

#include <algorithm>
#include <ctime>

namespace laburnumreach::capacity_bench
{

namespace
{

constexpr core::duration one_way_delay = std::chrono::milliseconds{1};

double processor_seconds()
{
    timespec value{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

/// A record as long as those of the design size.
membership::member_record make_record(std::size_t index)
{
    const std::string number = std::to_string(1000 + index);
    const std::string address =
        "10.10." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":";
    return {.id = "vm-" + number,
            .incarnation = 0x9e3779b97f4a7c15ULL + index,
            .version = 1'796'000'000'000ULL,
            .zone = "zone-" + std::to_string(index % 10),
            .region = "region-" + std::to_string(index % 3),
            .control_address = address + "7003",
            .peer_address = address + "7002",
            .caller_address = address + "7001",
            .service = "service-" + std::to_string(index % 99),
            .instance = "service-" + std::to_string(index % 99) + "-" + number,
            .slots = 64,
            .upstream = membership::instance_state::ready};
}

} // namespace

gossip_fleet::gossip_fleet(std::size_t count, std::uint64_t seed)
    : authenticator("capacity-bench-fleet-secret"), random(seed)
{
    membership::gossip_message everyone{.kind = membership::gossip_kind::sync_response};
    for (std::size_t index = 0; index < count; ++index)
    {
        everyone.updates.push_back(make_record(index));
        this->by_address[everyone.updates.back().control_address] = index;
    }
    this->members.resize(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        member& started = this->members[index];
        started.record = everyone.updates[index];
        // Starts are spread over a probe period, as those of independent daemons are.
        const core::time_point begin = this->now + std::chrono::milliseconds{this->random.below(500)};
        started.engine = std::make_unique<membership::gossip>(membership::gossip_options{}, started.record,
                                                              core::random_source{seed + 1 + index}, begin);
        started.engine->receive(this->now, "start", "10.255.0.1:1", everyone);
    }
}

void gossip_fleet::drain_updates()
{
    for (member& drained : this->members)
    {
        membership::gossip_message ping{.kind = membership::gossip_kind::ping,
                                        .table_hash = drained.engine->table().hash()};
        while (!drained.engine->receive(this->now, "start", "10.255.0.1:1", ping)
                    .front()
                    .message.updates.empty())
        {
        }
    }
}

void gossip_fleet::run_for(core::duration time)
{
    const double begin = processor_seconds();
    const core::time_point end = this->now + time;
    while (this->now < end)
    {
        for (std::size_t index = 0; index < this->members.size(); ++index)
        {
            if (this->members[index].engine)
            {
                const double tick_begin = processor_seconds();
                const auto messages = this->members[index].engine->tick(this->now);
                this->traffic.tick_seconds += processor_seconds() - tick_begin;
                ++this->traffic.ticks;
                this->send(index, messages);
            }
        }
        const core::time_point next = this->now + step;
        while (!this->network.empty() && this->network.begin()->first <= next)
        {
            auto arrived = this->network.extract(this->network.begin());
            this->now = arrived.key();
            this->deliver(std::move(arrived.mapped()));
        }
        this->now = next;
    }
    this->traffic.processor_seconds += processor_seconds() - begin;
}

void gossip_fleet::send(std::size_t from, const std::vector<membership::outgoing_gossip>& messages)
{
    member& sender = this->members[from];
    for (const membership::outgoing_gossip& outgoing : messages)
    {
        std::vector<std::uint8_t> bytes =
            protocol::encode_and_sign({.kind = static_cast<std::uint32_t>(protocol::control_kind::membership),
                                       .sender = sender.record.id,
                                       .sender_incarnation = sender.record.incarnation,
                                       .sender_address = sender.record.control_address,
                                       .receiver = {},
                                       .body = protocol::encode_message(outgoing.message)},
                                      this->authenticator);
        ++this->traffic.messages;
        this->traffic.bytes += bytes.size();
        sender.bytes += bytes.size();
        const auto target = this->by_address.find(outgoing.address);
        if (target != this->by_address.end())
        {
            this->network.emplace(this->now + one_way_delay,
                                  packet{.from = from, .to = target->second, .bytes = std::move(bytes)});
        }
    }
}

void gossip_fleet::deliver(packet&& arrived)
{
    member& receiver = this->members[arrived.to];
    const bool separated = this->cut != 0 && (arrived.from < this->cut) != (arrived.to < this->cut);
    if (!receiver.engine || separated)
    {
        return;
    }
    receiver.bytes += arrived.bytes.size();
    const auto envelope = protocol::verify_and_decode(arrived.bytes, this->authenticator);
    const auto message = protocol::decode_message<membership::gossip_message>(envelope->body);
    this->send(arrived.to,
               receiver.engine->receive(this->now, envelope->sender, envelope->sender_address, *message));
    this->follow_revision(arrived.to);
}

void gossip_fleet::follow_revision(std::size_t index)
{
    const auto& source = this->members[index].engine->configuration_source();
    if (source && source->revision > this->members[index].revision)
    {
        this->set_revision(index, source->revision);
    }
}

void gossip_fleet::set_revision(std::size_t index, std::uint64_t revision)
{
    this->members[index].revision = revision;
    this->send(index, this->members[index].engine->set_configuration_revision(this->now, revision));
}

std::size_t gossip_fleet::members_with_revision(std::uint64_t revision) const
{
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(),
                                                  [revision](const member& item)
                                                  { return item.revision == revision; }));
}

void gossip_fleet::restart(std::size_t index)
{
    member& started = this->members[index];
    // A replaced process starts from its wall clock, which is ahead of the version that it had.
    started.record.version += 60'000;
    ++started.record.incarnation;
    started.engine = std::make_unique<membership::gossip>(
        membership::gossip_options{.seeds = {this->members.front().record.control_address}}, started.record,
        core::random_source{started.record.incarnation}, this->now);
}

void gossip_fleet::change(std::size_t index)
{
    this->send(index, this->members[index].engine->update_self(
                          this->now, [](membership::member_record& record) { ++record.slots; }));
}

bool gossip_fleet::all_see(std::size_t begin, std::size_t end, membership::member_state state) const
{
    return std::all_of(this->members.begin(), this->members.end(),
                       [&](const member& item)
                       {
                           if (!item.engine)
                           {
                               return true;
                           }
                           for (std::size_t index = begin; index < end; ++index)
                           {
                               const auto* entry = item.engine->table().find(this->members[index].record.id);
                               if (entry == nullptr || entry->record.state != state)
                               {
                                   return false;
                               }
                           }
                           return true;
                       });
}

bool gossip_fleet::tables_equal() const
{
    const std::uint64_t expected = this->members.front().engine->table().hash();
    return std::all_of(this->members.begin(), this->members.end(),
                       [expected](const member& item)
                       { return !item.engine || item.engine->table().hash() == expected; });
}

gossip_traffic gossip_fleet::take_traffic()
{
    gossip_traffic result = this->traffic;
    result.time = this->now - this->traffic_begin;
    for (member& item : this->members)
    {
        result.most_bytes_of_member = std::max(result.most_bytes_of_member, item.bytes);
        item.bytes = 0;
    }
    this->traffic = {};
    this->traffic_begin = this->now;
    return result;
}

} // namespace laburnumreach::capacity_bench
