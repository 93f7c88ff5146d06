#ifndef LABURNUMREACH_SIDECAR_CALL_RATIO_ESTIMATOR_HPP
#define LABURNUMREACH_SIDECAR_CALL_RATIO_ESTIMATOR_HPP

#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Estimates the mean number of nested calls of each route per request of each other route on the local
/// instance. Deterministic.
///
/// A nested call does not identify its parent, so the ratios are fitted to the numbers of starts and calls in
/// successive intervals by the normalized least mean squares (NLMS) algorithm, with ratios clamped at zero.
class call_ratio_estimator
{
public:
    using counts = std::unordered_map<std::string, std::uint32_t>;

    /// Adds the counts of one interval.
    /// @param starts requests started on the instance, by route
    /// @param calls nested calls made by the instance, by route
    void add(const counts& starts, const counts& calls);

    /// Returns the ratios that are not below min_ratio.
    std::vector<call_ratio> ratios() const;

private:
    /// Step size of the NLMS algorithm; an estimate converges within about twenty intervals.
    static constexpr double learning_rate = 0.2;
    /// Smaller ratios are estimation noise.
    static constexpr double min_ratio = 0.1;

    /// Factor by which the counts decay in each interval. Counts are kept over several intervals, since calls
    /// follow the start of their request with a delay.
    static constexpr double decay_factor = 0.7;

    std::map<std::string, double> recent_starts;
    std::map<std::string, double> recent_calls;
    std::map<std::string, std::map<std::string, double>> estimates; ///< By child route, then parent route.
};

} // namespace laburnumreach::sidecar

#endif
