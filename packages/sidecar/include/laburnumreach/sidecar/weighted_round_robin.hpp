#ifndef LABURNUMREACH_SIDECAR_WEIGHTED_ROUND_ROBIN_HPP
#define LABURNUMREACH_SIDECAR_WEIGHTED_ROUND_ROBIN_HPP

#include "laburnumreach/sidecar/routing_config.hpp"

#include <cassert>
#include <span>
#include <string>
#include <unordered_map>

namespace laburnumreach::sidecar
{

/// Smooth weighted round robin over the services of a route: after any number of requests, the count of each
/// service is within one request of its share. Deterministic.
class weighted_round_robin
{
public:
    /// Chooses the service of the next request.
    /// @param choices must not be empty
    const std::string& next(std::span<const weighted_service> choices)
    {
        assert(!choices.empty());
        double total = 0;
        const weighted_service* best = nullptr;
        for (const weighted_service& choice : choices)
        {
            double& credit = this->credits[choice.service];
            credit += choice.weight;
            total += choice.weight;
            if (choice.weight > 0 && (best == nullptr || credit > this->credits[best->service]))
            {
                best = &choice;
            }
        }
        best = best == nullptr ? &choices.front() : best;
        this->credits[best->service] -= total;
        return best->service;
    }

private:
    std::unordered_map<std::string, double> credits;
};

} // namespace laburnumreach::sidecar

#endif
