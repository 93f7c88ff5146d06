#include "laburnumreach/sidecar/instance_choice.hpp"

#include <algorithm>
#include <vector>

namespace laburnumreach::sidecar
{

namespace
{

/// Run time from which an instance counts as slow, as a multiple of the usual one. The means of instances
/// that get other routes differ by less.
constexpr double slow_factor = 2.5;

double load_per_slot(const choice_candidate& candidate)
{
    return candidate.load / std::max(candidate.slots, 1.0);
}

/// Returns the run time that half of the instances keep; zero while unknown.
double usual_run_ms(std::span<const choice_candidate> candidates)
{
    std::vector<double> known;
    known.reserve(candidates.size());
    for (const choice_candidate& candidate : candidates)
    {
        if (candidate.run_ms > 0)
        {
            known.push_back(candidate.run_ms);
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

/// Returns the load per slot, for a slow instance multiplied by its slowness: a call that starts there at
/// once ends no sooner than one that waits for as many runs elsewhere.
double cost_of(const choice_candidate& candidate, double usual)
{
    const double load = load_per_slot(candidate);
    const bool slow = usual > 0 && candidate.run_ms > slow_factor * usual;
    return slow ? std::max(load, 1.0) * candidate.run_ms / usual : load;
}

} // namespace

std::optional<std::size_t> choose_instance(std::span<const choice_candidate> candidates,
                                           const choice_options& options)
{
    std::optional<std::size_t> local;
    std::optional<std::size_t> remote;
    const double usual = usual_run_ms(candidates);
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        std::optional<std::size_t>& best = candidates[index].same_zone ? local : remote;
        if (!best || cost_of(candidates[index], usual) < cost_of(candidates[*best], usual))
        {
            best = index;
        }
    }
    if (!local || !remote)
    {
        return local ? local : remote;
    }
    const double local_load = cost_of(candidates[*local], usual);
    const double remote_load = cost_of(candidates[*remote], usual);
    // A call that would wait here and start at once there goes there, unless its bytes are too many.
    const bool full_here = local_load >= std::max(options.local_load_limit, 1.0);
    const double margin = full_here && remote_load < 1.0 && !options.large_body ? 0.0 : options.remote_margin;
    const bool stay = local_load < options.local_load_limit || local_load <= remote_load + margin;
    return stay ? local : remote;
}

} // namespace laburnumreach::sidecar
