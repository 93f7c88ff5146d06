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
/// would cost more than the probes.
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
            const double last = known == this->told.end() ? 0.0 : known->second;
            const bool changed = std::abs(entry.rate - last) > std::max(least_rate, relative_change * last);
            if (!changed)
            {
                continue;
            }
            this->told.insert_or_assign(entry.customer, entry.rate);
            moved.push_back(entry);
        }
        return moved;
    }

private:
    /// Requests per second below which demand counts as none.
    static constexpr double least_rate = 0.3;
    /// Relative change that is told.
    static constexpr double relative_change = 0.15;

    std::unordered_map<std::string, double> told; ///< Rates by customer.
};

} // namespace laburnumreach::sidecar

#endif
