#include "gossip_fleet.hpp"
#include "parts.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <utility>

namespace laburnumreach::capacity_bench
{

namespace
{

using membership::member_state;

/// Returns the costs of one member per second.
nlohmann::json per_member(const gossip_traffic& traffic, std::size_t members)
{
    const double seconds = core::to_seconds(traffic.time);
    const double count = static_cast<double>(members) * seconds;
    return {{"seconds", seconds},
            {"messages_per_s", static_cast<double>(traffic.messages) / count},
            {"bytes_sent_per_s", static_cast<double>(traffic.bytes) / count},
            {"busiest_bytes_per_s", static_cast<double>(traffic.most_bytes_of_member) / seconds},
            {"message_core_percent", 100.0 * (traffic.processor_seconds - traffic.tick_seconds) / count},
            {"tick_us", 1e6 * traffic.tick_seconds / static_cast<double>(traffic.ticks)},
            {"load_average", load_average()}};
}

double used_bytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Measures what an event costs beyond the idle traffic.
template <typename Event>
nlohmann::json measure_event(gossip_fleet& fleet, const nlohmann::json& idle, double idle_bytes_per_s,
                             double seconds, Event event)
{
    fleet.take_traffic();
    const double took = core::to_seconds(event());
    const double left = seconds - std::max(took, 0.0);
    if (left > 0.0)
    {
        fleet.run_for(std::chrono::milliseconds{static_cast<std::int64_t>(left * 20.0) * 50});
    }
    const gossip_traffic traffic = fleet.take_traffic();
    nlohmann::json result = per_member(traffic, fleet.size());
    const double count = static_cast<double>(fleet.size());
    result["took_s"] = took;
    result["extra_bytes_per_member"] =
        static_cast<double>(traffic.bytes) / count - idle_bytes_per_s * core::to_seconds(traffic.time);
    result["extra_messages_per_member"] =
        (result["messages_per_s"].get<double>() - idle["messages_per_s"].get<double>()) *
        core::to_seconds(traffic.time);
    return result;
}

nlohmann::json measure_size(gossip_fleet& fleet, double before)
{
    const std::size_t members = fleet.size();
    fleet.drain_updates();
    nlohmann::json result{
        {"members", members},
        {"memory_bytes_per_member", (used_bytes() - before) / static_cast<double>(members)}};
    fleet.run_for(std::chrono::seconds{1});
    fleet.take_traffic();
    fleet.run_for(std::chrono::seconds{2});
    const nlohmann::json idle = per_member(fleet.take_traffic(), members);
    result["idle"] = idle;
    const double rate = idle["bytes_sent_per_s"].get<double>();
    const std::size_t victim = members / 2;

    result["record_change"] = measure_event(fleet, idle, rate, 1.5,
                                            [&]
                                            {
                                                fleet.change(victim);
                                                return fleet.run_until(std::chrono::seconds{4},
                                                                       [&] { return fleet.tables_equal(); });
                                            });
    result["revision"] =
        measure_event(fleet, idle, rate, 1.0,
                      [&]
                      {
                          fleet.set_revision(victim, 2);
                          return fleet.run_until(std::chrono::seconds{4},
                                                 [&] { return fleet.members_with_revision(2) == members; });
                      });
    result["loss"] = measure_event(
        fleet, idle, rate, 4.0,
        [&]
        {
            fleet.stop(victim);
            return fleet.run_until(std::chrono::seconds{8},
                                   [&] { return fleet.all_see(victim, victim + 1, member_state::dead); });
        });
    result["restart"] = measure_event(fleet, idle, rate, 2.0,
                                      [&]
                                      {
                                          fleet.restart(victim);
                                          return fleet.run_until(std::chrono::seconds{8},
                                                                 [&] { return fleet.tables_equal(); });
                                      });
    return result;
}

/// Stops a block of members at once, then starts them again.
nlohmann::json measure_block(gossip_fleet& fleet, const nlohmann::json& idle, std::size_t begin,
                             std::size_t end)
{
    const double rate = idle["bytes_sent_per_s"].get<double>();
    nlohmann::json result{{"members", end - begin}};
    result["loss"] =
        measure_event(fleet, idle, rate, 4.0,
                      [&]
                      {
                          for (std::size_t index = begin; index < end; ++index)
                          {
                              fleet.stop(index);
                          }
                          return fleet.run_until(std::chrono::seconds{30}, [&]
                                                 { return fleet.all_see(begin, end, member_state::dead); });
                      });
    result["return"] = measure_event(fleet, idle, rate, 4.0,
                                     [&]
                                     {
                                         for (std::size_t index = begin; index < end; ++index)
                                         {
                                             fleet.restart(index);
                                         }
                                         return fleet.run_until(std::chrono::seconds{30},
                                                                [&] { return fleet.tables_equal(); });
                                     });
    return result;
}

nlohmann::json measure_partition(gossip_fleet& fleet, const nlohmann::json& idle)
{
    const double rate = idle["bytes_sent_per_s"].get<double>();
    const std::size_t third = fleet.size() / 3;
    nlohmann::json result{{"members_cut_off", third}};
    result["cut"] = measure_event(fleet, idle, rate, 4.0,
                                  [&]
                                  {
                                      fleet.cut_at(third);
                                      fleet.run_for(std::chrono::seconds{4});
                                      return core::duration{std::chrono::seconds{4}};
                                  });
    fleet.take_traffic();
    fleet.run_for(std::chrono::seconds{1});
    result["while_cut"] = per_member(fleet.take_traffic(), fleet.size());
    result["healed"] = measure_event(
        fleet, idle, rate, 4.0,
        [&]
        {
            fleet.cut_at(0);
            return fleet.run_until(std::chrono::seconds{60},
                                   [&] { return fleet.all_see(0, fleet.size(), member_state::alive); });
        });
    return result;
}

} // namespace

nlohmann::json measure_gossip(const bench_options& options)
{
    nlohmann::json result{{"sizes", nlohmann::json::array()}};
    for (const std::size_t members : options.member_counts)
    {
        const double before = used_bytes();
        gossip_fleet fleet{members, 7};
        const nlohmann::json size = measure_size(fleet, before);
        std::cout << "gossip " << size.dump() << std::endl;
        result["sizes"].push_back(size);
        if (members == options.member_counts.back())
        {
            // A tenth of the members, which is a zone at the design size.
            const std::size_t begin = members / 2;
            result["zone"] =
                measure_block(fleet, size["idle"], begin, begin + std::max<std::size_t>(members / 10, 1));
            std::cout << "zone " << result["zone"].dump() << std::endl;
            result["partition"] = measure_partition(fleet, size["idle"]);
            std::cout << "partition " << result["partition"].dump() << std::endl;
        }
    }
    return result;
}

} // namespace laburnumreach::capacity_bench
