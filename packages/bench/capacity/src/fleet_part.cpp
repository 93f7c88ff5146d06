#include "daemon_fleet.hpp"
#include "parts.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

namespace laburnumreach::capacity_bench
{

namespace
{

constexpr double window_seconds = 5.0;
constexpr std::chrono::seconds change_interval{1};

/// Sums over all daemons of a fleet.
struct fleet_totals
{
    process::process_usage usage;
    double bytes_sent = 0.0;
    double bytes_received = 0.0;
    double messages_sent = 0.0;
    double most_resident_mb = 0.0;
    double platform_calls = 0.0;
    std::chrono::steady_clock::time_point at;
};

fleet_totals read_totals(const daemon_fleet& fleet)
{
    fleet_totals totals;
    totals.platform_calls = fleet.platform_statistics()["total"].value("calls", 0.0);
    for (std::size_t index = 0; index < fleet.processes().size(); ++index)
    {
        const nlohmann::json shown = fleet.status(index);
        totals.bytes_sent += shown.value("control_bytes_sent", 0.0);
        totals.bytes_received += shown.value("control_bytes_received", 0.0);
        totals.messages_sent += shown.value("control_messages_sent", 0.0);
    }
    for (const process::child_process& daemon : fleet.processes())
    {
        const process::process_usage used = daemon.usage();
        totals.usage.control_seconds += used.control_seconds;
        totals.usage.total_seconds += used.total_seconds;
        totals.usage.resident_mb += used.resident_mb;
        totals.usage.threads += used.threads;
        totals.most_resident_mb = std::max(totals.most_resident_mb, used.resident_mb);
    }
    totals.at = std::chrono::steady_clock::now();
    return totals;
}

/// Returns the costs of one daemon per second between two readings.
nlohmann::json difference(const fleet_totals& before, const fleet_totals& after, std::size_t daemons)
{
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    const double count = static_cast<double>(daemons) * seconds;
    return {
        {"control_thread_core_percent",
         100.0 * (after.usage.control_seconds - before.usage.control_seconds) / count},
        {"process_core_percent", 100.0 * (after.usage.total_seconds - before.usage.total_seconds) / count},
        {"bytes_sent_per_s", (after.bytes_sent - before.bytes_sent) / count},
        {"bytes_received_per_s", (after.bytes_received - before.bytes_received) / count},
        {"messages_sent_per_s", (after.messages_sent - before.messages_sent) / count},
        {"platform_calls_per_s", (after.platform_calls - before.platform_calls) / seconds},
        {"resident_mb_mean", after.usage.resident_mb / static_cast<double>(daemons)},
        {"resident_mb_most", after.most_resident_mb},
        {"threads_mean", static_cast<double>(after.usage.threads) / static_cast<double>(daemons)},
        {"load_average", load_average()}};
}

nlohmann::json measure_fleet(const bench_options& options, std::size_t daemons, std::size_t zones)
{
    daemon_fleet fleet{{.build_dir = options.build_dir,
                        .work_dir = options.work_dir,
                        .address = "127.77.0." + std::to_string(daemons + zones),
                        .daemons = daemons,
                        .zones = zones}};
    nlohmann::json result{{"daemons", daemons}, {"zones", zones}, {"text_bytes", fleet.text_bytes()}};
    result["settled_after_s"] = fleet.wait_until_settled(30.0);
    // The records of the start are piggybacked until each was sent 3 log2(n) times.
    std::this_thread::sleep_for(std::chrono::duration<double>(4.0 + 0.15 * static_cast<double>(daemons)));
    const fleet_totals begin = read_totals(fleet);
    std::this_thread::sleep_for(std::chrono::duration<double>(window_seconds));
    const fleet_totals middle = read_totals(fleet);
    double longest = 0.0;
    const auto changes_begin = std::chrono::steady_clock::now();
    for (int change = 0; change < static_cast<int>(window_seconds); ++change)
    {
        const auto written_at = std::chrono::steady_clock::now();
        fleet.change_configuration();
        // /status is renewed every 500 ms, so the times found are up to 0.5 s too long.
        while (fleet.daemons_in_force() < daemons &&
               std::chrono::steady_clock::now() - written_at < std::chrono::seconds{7})
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
        }
        longest = std::max(
            longest, std::chrono::duration<double>(std::chrono::steady_clock::now() - written_at).count());
        std::this_thread::sleep_until(changes_begin + (change + 1) * change_interval);
    }
    const fleet_totals end = read_totals(fleet);
    result["idle"] = difference(begin, middle, daemons);
    result["changes"] = difference(middle, end, daemons);
    result["changes"]["in_force_longest_s"] = longest;
    return result;
}

} // namespace

nlohmann::json measure_fleets(const bench_options& options)
{
    nlohmann::json results = nlohmann::json::array();
    const auto add = [&](std::size_t daemons, std::size_t zones)
    {
        results.push_back(measure_fleet(options, daemons, zones));
        std::cout << "fleet " << results.back().dump() << std::endl;
    };
    for (const std::size_t daemons : options.fleet_sizes)
    {
        add(daemons, std::min<std::size_t>(daemons, 3));
    }
    add(12, 1);
    add(12, 6);
    return results;
}

} // namespace laburnumreach::capacity_bench
