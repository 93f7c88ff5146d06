#include "laburnumreach/sidecar/retry_budget.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

retry_budget::part_counts& retry_budget::current(core::time_point now, core::duration window)
{
    const core::duration part_length = std::max<core::duration>(window / parts, std::chrono::milliseconds{1});
    const std::int64_t number = now.time_since_epoch() / part_length;
    part_counts& part = this->counts[static_cast<std::size_t>(number) % parts];
    if (part.number != number)
    {
        part = {.number = number};
    }
    return part;
}

void retry_budget::record_request(core::time_point now)
{
    ++this->current(now, this->last_window).requests;
}

bool retry_budget::try_take(const retry_budget_options& options, core::time_point now)
{
    this->last_window = options.window;
    part_counts& latest = this->current(now, options.window);
    double requests = 0;
    double repeats = 0;
    for (const part_counts& part : this->counts)
    {
        if (part.number > latest.number - static_cast<std::int64_t>(parts))
        {
            requests += part.requests;
            repeats += part.repeats;
        }
    }
    if (repeats + 1 > requests * options.ratio + options.slack)
    {
        return false;
    }
    ++latest.repeats;
    return true;
}

} // namespace laburnumreach::sidecar
