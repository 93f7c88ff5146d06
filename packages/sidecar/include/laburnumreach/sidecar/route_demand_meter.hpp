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

/// Measures the rate at which callers ask this daemon for each route. Deterministic.
class route_demand_meter
{
public:
    /// Counts one request, whether it is shed or not.
    void record(const std::string& route_name, priority_rank rank) { ++this->counts[{route_name, rank}]; }

    /// Returns the rates of the routes that are asked for.
    std::vector<route_demand> rates() const;

    /// Takes a measurement when one is due. Call it often.
    /// @returns whether the rates changed
    bool update(core::time_point now);

private:
    /// Time between two measurements: callers of one daemon send some requests in it.
    static constexpr core::duration interval = std::chrono::milliseconds{200};
    /// Weight of the newest measurement, which smooths over about half a second.
    static constexpr double weight = 0.4;
    /// Requests per second below which a route counts as not asked for.
    static constexpr double least_rate = 0.05;

    std::map<std::pair<std::string, priority_rank>, double> counts; ///< Since the last measurement.
    std::map<std::pair<std::string, priority_rank>, double> smoothed;
    core::time_point measured{};
};

} // namespace laburnumreach::sidecar

#endif
