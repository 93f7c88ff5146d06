#include "laburnumreach/sidecar/call_ratio_estimator.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

namespace
{

void decay_and_add(std::map<std::string, double>& recent, const call_ratio_estimator::counts& added,
                   double decay_factor)
{
    for (auto& [route, value] : recent)
    {
        value *= decay_factor;
    }
    for (const auto& [route, count] : added)
    {
        recent[route] += count;
    }
}

} // namespace

void call_ratio_estimator::add(const counts& starts, const counts& calls)
{
    decay_and_add(this->recent_starts, starts, decay_factor);
    decay_and_add(this->recent_calls, calls, decay_factor);
    double input_energy = 0;
    for (const auto& [route, value] : this->recent_starts)
    {
        input_energy += value * value;
    }
    constexpr double min_energy = 1.0; // Fewer requests give no information.
    if (input_energy < min_energy)
    {
        return;
    }
    for (const auto& [child, observed] : this->recent_calls)
    {
        std::map<std::string, double>& parents = this->estimates[child];
        double predicted = 0;
        for (const auto& [parent, value] : this->recent_starts)
        {
            predicted += parents[parent] * value;
        }
        const double error = observed - predicted;
        for (const auto& [parent, value] : this->recent_starts)
        {
            double& ratio = parents[parent];
            ratio = std::max(0.0, ratio + learning_rate * error * value / input_energy);
        }
    }
}

std::vector<call_ratio> call_ratio_estimator::ratios() const
{
    std::vector<call_ratio> found;
    for (const auto& [child, parents] : this->estimates)
    {
        for (const auto& [parent, ratio] : parents)
        {
            if (ratio >= min_ratio)
            {
                found.push_back({.parent_route = parent, .child_route = child, .calls_per_run = ratio});
            }
        }
    }
    return found;
}

} // namespace laburnumreach::sidecar
