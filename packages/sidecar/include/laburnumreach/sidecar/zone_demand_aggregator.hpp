#ifndef LABURNUMREACH_SIDECAR_ZONE_DEMAND_AGGREGATOR_HPP
#define LABURNUMREACH_SIDECAR_ZONE_DEMAND_AGGREGATOR_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <string>

namespace laburnumreach::sidecar
{

/// Sums the demand at the daemons of one zone, for reports to other zones. Deterministic.
///
/// Load pattern: every daemon needs the demand of the whole fleet, and traffic between zones is charged. If
/// each daemon reported to every other one, the traffic would grow with the square of the fleet size; with 90
/// daemons it would cost more than the answers to requests. So only the primary daemons of a zone
/// (store_watch_role) report to other zones, and they report the sum.
class zone_demand_aggregator
{
public:
    /// Records the report of a daemon of the zone, this one included. Customers that are not listed keep
    /// their value.
    void record(const std::string& daemon_id, const demand_report& report, core::time_point now);

    /// Forgets the report of a daemon.
    void remove_daemon(const std::string& daemon_id) { this->reports.erase(daemon_id); }

    /// Returns the sum of the reports that are not older than max_demand_age.
    demand_report sum(core::time_point now) const;

private:
    /// The last report of one daemon.
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
