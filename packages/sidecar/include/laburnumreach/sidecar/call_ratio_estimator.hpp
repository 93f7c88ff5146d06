#ifndef LABURNUMREACH_SIDECAR_CALL_RATIO_ESTIMATOR_HPP
#define LABURNUMREACH_SIDECAR_CALL_RATIO_ESTIMATOR_HPP

#include "laburnumreach/sidecar/peer_messages.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumreach::sidecar
{

/// Estimates how many calls of each route a run of each other route makes on the instance beside this
/// daemon. Deterministic.
///
/// A nested call does not name its parent, so the ratios are fitted to the counts of starts and calls in
/// successive intervals by normalised least mean squares, without negative ratios.
class call_ratio_estimator
{
public:
    using counts = std::unordered_map<std::string, std::uint32_t>;

    /// Adds one interval.
    /// @param starts runs that began, by route
    /// @param calls nested calls made, by route
    void add(const counts& starts, const counts& calls);

    /// Returns the ratios that matter.
    std::vector<call_ratio> ratios() const;

private:
    /// Weight of one interval; about twenty intervals settle an estimate.
    static constexpr double learning_rate = 0.2;
    /// Ratios below are noise of the fit.
    static constexpr double least_ratio = 0.1;

    /// Runs are counted with a short memory, since calls follow the start of their run with a delay.
    static constexpr double memory = 0.7;

    std::map<std::string, double> recent_starts;
    std::map<std::string, double> recent_calls;
    std::map<std::string, std::map<std::string, double>> estimates; ///< Child, then parent.
};

} // namespace laburnumreach::sidecar

#endif
