#include "laburnumreach/sidecar/instance_choice.hpp"

#include <algorithm>
#include <limits>

namespace laburnumreach::sidecar
{

namespace
{

double load_per_slot(const choice_candidate& candidate)
{
    return candidate.load / std::max(candidate.slots, 1.0);
}

} // namespace

std::optional<std::size_t> choose_instance(std::span<const choice_candidate> candidates,
                                           const choice_options& options)
{
    std::optional<std::size_t> local;
    std::optional<std::size_t> remote;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        std::optional<std::size_t>& best = candidates[index].same_zone ? local : remote;
        if (!best || load_per_slot(candidates[index]) < load_per_slot(candidates[*best]))
        {
            best = index;
        }
    }
    if (!local || !remote)
    {
        return local ? local : remote;
    }
    const double local_load = load_per_slot(candidates[*local]);
    const double remote_load = load_per_slot(candidates[*remote]);
    // A call that would wait here and start at once there goes there, unless its bytes are too many.
    const bool full_here = local_load >= std::max(options.local_load_limit, 1.0);
    const double margin = full_here && remote_load < 1.0 && !options.large_body ? 0.0 : options.remote_margin;
    const bool stay = local_load < options.local_load_limit || local_load <= remote_load + margin;
    return stay ? local : remote;
}

} // namespace laburnumreach::sidecar
