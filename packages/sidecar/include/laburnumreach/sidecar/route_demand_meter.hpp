#ifndef LABURNUMREACH_SIDECAR_ROUTE_DEMAND_METER_HPP
#define LABURNUMREACH_SIDECAR_ROUTE_DEMAND_METER_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"
#include "laburnumreach/sidecar/priority_rank.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace laburnumreach::sidecar
{

/// Measures the rate of callers' requests for each route at this daemon. Deterministic.
class route_demand_meter
{
public:
    /// Counts one request, whether it is shed or not.
    void record(const std::string& route_name, priority_rank rank) { ++this->counts[{route_name, rank}]; }

    /// Returns the rates of the routes that are in demand.
    std::vector<route_demand> rates() const;

    /// Updates the rates if the measurement interval has passed. Call it often.
    /// @returns whether the rates changed
    bool update(core::time_point now);

private:
    /// Time between two measurements; long enough for several requests at one daemon.
    static constexpr core::duration measurement_interval = std::chrono::milliseconds{200};
    /// Weight of the latest measurement in the exponential smoothing; averages over about half a second.
    static constexpr double smoothing_weight = 0.4;
    /// Requests per second below which a route counts as not in demand.
    static constexpr double min_rate = 0.05;

    std::map<std::pair<std::string, priority_rank>, double> counts; ///< Since the last measurement.
    std::map<std::pair<std::string, priority_rank>, double> smoothed_rates;
    core::time_point last_measurement{};
};

} // namespace laburnumreach::sidecar

#endif
