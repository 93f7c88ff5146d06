#ifndef LABURNUMREACH_SIDECAR_ZONE_DEMAND_AGGREGATOR_HPP
#define LABURNUMREACH_SIDECAR_ZONE_DEMAND_AGGREGATOR_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <string>

namespace laburnumreach::sidecar
{

/// Sums the demand of the daemons of one zone, for the daemons of other zones. Deterministic.
///
/// Load pattern: every daemon needs the demand of the whole fleet, and each report between zones is paid for.
/// With reports from each daemon to each other one their bytes grow with the square of the fleet, and on 90
/// daemons they cost more than the answers. Only the leading daemons of a zone report to other zones, and
/// they report the sum.
class zone_demand_aggregator
{
public:
    /// Records what a daemon of the zone reports, this one included; customers that it does not name are
    /// unchanged.
    void record(const std::string& daemon_id, const demand_report& report, core::time_point now);

    /// Returns the sum of the reports that are not too old.
    demand_report sum(core::time_point now) const;

private:
    /// What one daemon reported last.
    struct daemon_report
    {
        std::map<std::string, double> customers;
        std::vector<route_demand> routes;
        core::time_point received{};
    };

    std::map<std::string, daemon_report> reports; ///< By daemon.
};

} // namespace laburnumreach::sidecar

#endif
