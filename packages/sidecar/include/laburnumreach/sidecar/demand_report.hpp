#ifndef LABURNUMREACH_SIDECAR_DEMAND_REPORT_HPP
#define LABURNUMREACH_SIDECAR_DEMAND_REPORT_HPP

#include "laburnumreach/sidecar/peer_messages.hpp"

#include <cmath>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Chooses the demands that one peer must be told because they moved since it was told last. Deterministic.
///
/// With many customers and daemons most demands are small and steady; telling all of them in each probe
/// would cost more than the probes. The limiter moves a demand in steps; each step is told, since a daemon's
/// share counts on the others knowing it.
class demand_report
{
public:
    /// Forgets what was told, for a new connection.
    void reset() { this->told.clear(); }

    /// Returns the entries to send now and takes them for told.
    std::vector<customer_demand> changes(std::span<const customer_demand> current)
    {
        std::vector<customer_demand> moved;
        for (const customer_demand& entry : current)
        {
            const auto known = this->told.find(entry.customer);
            const bool changed =
                known == this->told.end()
                    ? entry.rate > 0
                    : entry.rate != known->second.rate || share_moved(known->second.share, entry.share);
            if (!changed)
            {
                continue;
            }
            this->told.insert_or_assign(entry.customer, entry);
            moved.push_back(entry);
        }
        return moved;
    }

private:
    /// Change of a share that matters by itself.
    static constexpr double least_share = 0.01;
    /// Relative change of a share that is told.
    static constexpr double relative_change = 0.15;

    static bool share_moved(double before, double now)
    {
        return std::abs(now - before) > std::max(least_share, relative_change * before);
    }

    std::unordered_map<std::string, customer_demand> told;
};

} // namespace laburnumreach::sidecar

#endif
