#ifndef LABURNUMREACH_CAPACITY_BENCH_DAEMON_FLEET_HPP
#define LABURNUMREACH_CAPACITY_BENCH_DAEMON_FLEET_HPP

#include "laburnumreach/process/child_process.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumreach::capacity_bench
{

/// Key of the one tenant that the bench sends requests for.
inline constexpr std::string_view caller_key = "capacity-bench-key";

/// Settings of a daemon_fleet.
struct daemon_fleet_options
{
    std::string build_dir; ///< Directory with the built programs.
    std::string work_dir;  ///< Directory for settings and logs.
    std::string address;   ///< Loopback address of its own, so that ports do not meet those of other runs.
    std::size_t daemons = 3;
    std::size_t zones = 3;
    std::size_t workers = 4;
};

/// A platform stand-in and real daemon processes on one loopback address.
class daemon_fleet
{
public:
    /// Starts the programs and puts a configuration in force.
    explicit daemon_fleet(daemon_fleet_options settings);

    /// Starts an upstream stand-in beside a daemon.
    /// @param port of the stand-in
    void start_upstream(std::size_t daemon, std::uint16_t port, double service_time_ms);

    /// Writes the next revision of the configuration to the platform.
    void change_configuration();

    /// Returns the revision that was written last.
    std::uint64_t revision() const noexcept { return this->last_revision; }

    /// Returns the size of the operators' text in bytes.
    std::size_t text_bytes() const { return this->text().size(); }

    /// Returns the path of the one upstream's route as the upstream sees it.
    static std::string upstream_path();

    /// Returns the path of the one upstream's route as a caller writes it.
    static std::string caller_path();

    /// Returns /status of a daemon, or an empty object while it does not answer.
    nlohmann::json status(std::size_t daemon) const;

    /// Returns /control/stats of the platform stand-in.
    nlohmann::json platform_statistics() const;

    /// Waits until every daemon knows all others and the last configuration.
    /// @returns the time it took in seconds
    /// @throws std::runtime_error when it does not happen in time
    double wait_until_settled(double most_seconds) const;

    /// Returns the number of daemons that have the last configuration in force, as /status shows it.
    std::size_t daemons_in_force() const;

    const std::vector<process::child_process>& processes() const noexcept { return this->daemons; }
    std::uint16_t caller_port(std::size_t daemon) const { return this->port(daemon, 0); }

private:
    std::uint16_t port(std::size_t daemon, std::size_t listener) const;
    std::string text() const;
    void start_daemon(std::size_t index);

    daemon_fleet_options options;
    std::uint64_t last_revision = 0;
    std::vector<process::child_process> helpers;
    std::vector<process::child_process> daemons;
};

} // namespace laburnumreach::capacity_bench

#endif
