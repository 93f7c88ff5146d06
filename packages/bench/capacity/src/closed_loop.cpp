#include "closed_loop.hpp"

#include "laburnumreach/http/client_pool.hpp"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace laburnumreach::capacity_bench
{

namespace
{

double quantile_ms(std::vector<double>& sorted, double quantile)
{
    if (sorted.empty())
    {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return sorted[rank];
}

} // namespace

closed_loop_result run_closed_loop(const closed_loop_options& options)
{
    const core::time_point begin = core::boot_clock::now();
    const core::time_point end = begin + options.time;
    std::vector<std::vector<double>> latencies(options.callers);
    std::vector<std::map<std::string, std::size_t>> failures(options.callers);
    {
        std::vector<std::jthread> callers;
        for (std::size_t index = 0; index < options.callers; ++index)
        {
            callers.emplace_back(
                [&, index]
                {
                    http::client_pool pool{http::client_pool_options{}};
                    http::headers fields;
                    if (!options.key.empty())
                    {
                        fields.emplace("Authorization", "Bearer " + options.key);
                    }
                    bool first = true;
                    while (core::boot_clock::now() < end)
                    {
                        const core::time_point sent = core::boot_clock::now();
                        const http::exchange_result result =
                            pool.send(options.target, {.target = options.path,
                                                       .headers = &fields,
                                                       .deadline = sent + std::chrono::seconds{3}});
                        const core::duration took = core::boot_clock::now() - sent;
                        if (!result.complete() || result.answer.status != 200)
                        {
                            const std::string_view reason =
                                http::find_header(result.answer.headers, "Laburnum-Reason");
                            ++failures[index][reason.empty()
                                                  ? "status " + std::to_string(result.answer.status)
                                                  : std::string{reason}];
                        }
                        else if (!std::exchange(first, false))
                        {
                            // The first request of a caller also opens the connections on the way.
                            latencies[index].push_back(
                                std::chrono::duration<double, std::milli>(took).count());
                        }
                    }
                });
        }
    }
    closed_loop_result result;
    result.seconds = std::chrono::duration<double>(core::boot_clock::now() - begin).count();
    std::vector<double> all;
    for (std::size_t index = 0; index < options.callers; ++index)
    {
        all.insert(all.end(), latencies[index].begin(), latencies[index].end());
        for (const auto& [reason, count] : failures[index])
        {
            result.failed += count;
            result.reasons[reason] += count;
        }
    }
    std::sort(all.begin(), all.end());
    result.completed = all.size();
    result.p50_ms = quantile_ms(all, 0.5);
    result.p99_ms = quantile_ms(all, 0.99);
    return result;
}

} // namespace laburnumreach::capacity_bench
