#include "laburnumreach/sidecar/instance_choice.hpp"

#include <algorithm>
#include <vector>

namespace laburnumreach::sidecar
{

namespace
{

/// Multiple of the median execution time above which an instance counts as slow. The mean times of instances
/// differ by less than this when they only serve different routes.
constexpr double slow_factor = 2.5;

double load_per_slot(const choice_candidate& candidate)
{
    return candidate.load / std::max(candidate.slots, 1.0);
}

/// Returns the median of the mean execution times of the instances, in milliseconds; zero if none is known.
double median_run_ms(std::span<const choice_candidate> candidates)
{
    std::vector<double> known;
    known.reserve(candidates.size());
    for (const choice_candidate& candidate : candidates)
    {
        if (candidate.mean_run_ms > 0)
        {
            known.push_back(candidate.mean_run_ms);
        }
    }
    if (known.empty())
    {
        return 0.0;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

/// Returns the load per slot, which is at least one for a slow instance and multiplied by its slowdown: a
/// call that starts immediately on an instance that is n times slower finishes no earlier than one that waits
/// for n calls elsewhere.
double cost_of(const choice_candidate& candidate, double median_ms)
{
    const double load = load_per_slot(candidate);
    const bool slow = median_ms > 0 && candidate.mean_run_ms > slow_factor * median_ms;
    return slow ? std::max(load, 1.0) * candidate.mean_run_ms / median_ms : load;
}

} // namespace

std::optional<std::size_t> choose_instance(std::span<const choice_candidate> candidates,
                                           const choice_options& options)
{
    std::optional<std::size_t> local;
    std::optional<std::size_t> remote;
    const double median_ms = median_run_ms(candidates);
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        std::optional<std::size_t>& best = candidates[index].same_zone ? local : remote;
        if (!best || cost_of(candidates[index], median_ms) < cost_of(candidates[*best], median_ms))
        {
            best = index;
        }
    }
    if (!local || !remote)
    {
        return local ? local : remote;
    }
    const double local_load = cost_of(candidates[*local], median_ms);
    const double remote_load = cost_of(candidates[*remote], median_ms);
    // A call that would queue in the local zone and start immediately in another one is sent there, unless
    // its body is large.
    const bool local_full = local_load >= std::max(options.local_load_limit, 1.0);
    const double margin =
        local_full && remote_load < 1.0 && !options.large_body ? 0.0 : options.remote_margin;
    const bool use_local = local_load < options.local_load_limit || local_load <= remote_load + margin;
    return use_local ? local : remote;
}

} // namespace laburnumreach::sidecar
