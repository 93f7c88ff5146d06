#include "laburnumreach/sidecar/retry_budget.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

retry_budget::bucket& retry_budget::current_bucket(core::time_point now, core::duration window)
{
    const core::duration bucket_length =
        std::max<core::duration>(window / bucket_count, std::chrono::milliseconds{1});
    const std::int64_t index = now.time_since_epoch() / bucket_length;
    bucket& entry = this->buckets[static_cast<std::size_t>(index) % bucket_count];
    if (entry.index != index)
    {
        entry = {.index = index};
    }
    return entry;
}

void retry_budget::record_request(core::time_point now)
{
    ++this->current_bucket(now, this->last_window).requests;
}

bool retry_budget::try_take(const retry_budget_options& options, core::time_point now)
{
    this->last_window = options.window;
    bucket& latest = this->current_bucket(now, options.window);
    double requests = 0;
    double retries = 0;
    for (const bucket& entry : this->buckets)
    {
        if (entry.index > latest.index - static_cast<std::int64_t>(bucket_count))
        {
            requests += entry.requests;
            retries += entry.retries;
        }
    }
    if (retries + 1 > requests * options.ratio + options.slack)
    {
        return false;
    }
    ++latest.retries;
    return true;
}

} // namespace laburnumreach::sidecar
