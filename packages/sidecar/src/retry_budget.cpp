#include "laburnumreach/sidecar/retry_budget.hpp"

#include <algorithm>

namespace laburnumreach::sidecar
{

retry_budget::bucket& retry_budget::current_bucket(core::time_point now)
{
    while (!this->buckets.empty() && now - this->buckets.front().start >= this->window)
    {
        this->buckets.pop_front();
    }
    const core::duration bucket_length =
        std::max<core::duration>(this->window / bucket_count, std::chrono::milliseconds{1});
    if (this->buckets.empty() || now - this->buckets.back().start >= bucket_length)
    {
        this->buckets.push_back({.start = now});
    }
    return this->buckets.back();
}

void retry_budget::record_request(core::time_point now)
{
    ++this->current_bucket(now).requests;
}

bool retry_budget::try_take(const retry_budget_options& options, core::time_point now)
{
    this->window = options.window;
    bucket& latest = this->current_bucket(now);
    double requests = 0;
    double retries = 0;
    for (const bucket& entry : this->buckets)
    {
        requests += entry.requests;
        retries += entry.retries;
    }
    if (retries + 1 > requests * options.ratio + options.slack)
    {
        return false;
    }
    ++latest.retries;
    return true;
}

} // namespace laburnumreach::sidecar
