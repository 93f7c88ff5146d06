#ifndef LABURNUMREACH_SIDECAR_DEPARTURE_MEMORY_HPP
#define LABURNUMREACH_SIDECAR_DEPARTURE_MEMORY_HPP

#include "laburnumreach/sidecar/instance_departure.hpp"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Departures that other daemons acknowledged to their instances. They are told to the next process of such a
/// daemon, on whose VM nothing outlives the process. Deterministic.
class departure_memory
{
public:
    /// Adds departures of the instances beside a daemon, and forgets those of instances that work again.
    /// @param withdrawn ids of the instances that work again
    void record(const std::string& daemon_id, std::span<const instance_departure> announced,
                std::span<const std::string> withdrawn);

    /// Returns the departures of the instances beside a daemon.
    std::span<const instance_departure> departures_of(const std::string& daemon_id) const;

private:
    /// Largest number of daemons that are remembered.
    static constexpr std::size_t max_daemons = 4096;

    std::unordered_map<std::string, std::vector<instance_departure>> departures; ///< By daemon.
};

} // namespace laburnumreach::sidecar

#endif
