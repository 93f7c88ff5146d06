#ifndef LABURNUMREACH_CAPACITY_BENCH_PARTS_HPP
#define LABURNUMREACH_CAPACITY_BENCH_PARTS_HPP

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace laburnumreach::capacity_bench
{

/// Settings of all parts.
struct bench_options
{
    std::string build_dir = "build";
    std::string work_dir = "bench-out/capacity";
    std::vector<std::size_t> fleet_sizes{3, 12, 48};
    std::vector<std::size_t> member_counts{8, 32, 128, 700};
};

/// Measures real daemons in fleets of several sizes, idle and with a configuration change per second.
nlohmann::json measure_fleets(const bench_options& options);

/// Measures gossip in virtual time: idle, one change, loss, restart, loss of a zone, partition.
nlohmann::json measure_gossip(const bench_options& options);

/// Measures one zone's lender and its borrowers in virtual time.
nlohmann::json measure_quota(const bench_options& options);

/// Measures latency and processor time of forwarded calls, and the memory of idle connections.
nlohmann::json measure_calls(const bench_options& options);

/// Returns the load average over one minute, to be shown with each figure.
double load_average();

} // namespace laburnumreach::capacity_bench

#endif
