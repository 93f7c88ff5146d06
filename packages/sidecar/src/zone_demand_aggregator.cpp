#include "laburnumreach/sidecar/zone_demand_aggregator.hpp"

#include <utility>

namespace laburnumreach::sidecar
{

void zone_demand_aggregator::record(const std::string& daemon_id, const demand_report& report,
                                    core::time_point now)
{
    daemon_report& known = this->reports[daemon_id];
    known.received = now;
    known.routes = report.routes;
    for (const customer_demand& entry : report.customers)
    {
        known.customers.insert_or_assign(entry.customer, entry.rate);
    }
}

demand_report zone_demand_aggregator::sum(core::time_point now) const
{
    std::map<std::string, double> customers;
    std::map<std::pair<std::string, std::int32_t>, double> routes;
    for (const auto& [daemon, report] : this->reports)
    {
        if (now - report.received > max_demand_age)
        {
            continue;
        }
        for (const auto& [customer, rate] : report.customers)
        {
            customers[customer] += rate;
        }
        for (const route_demand& entry : report.routes)
        {
            routes[{entry.route, entry.rank}] += entry.rate;
        }
    }
    demand_report total{.covers_zone = true};
    for (const auto& [customer, rate] : customers)
    {
        total.customers.push_back({.customer = customer, .rate = rate});
    }
    for (const auto& [route_and_rank, rate] : routes)
    {
        total.routes.push_back({.route = route_and_rank.first, .rank = route_and_rank.second, .rate = rate});
    }
    return total;
}

} // namespace laburnumreach::sidecar
