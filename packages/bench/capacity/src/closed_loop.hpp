#ifndef LABURNUMREACH_CAPACITY_BENCH_CLOSED_LOOP_HPP
#define LABURNUMREACH_CAPACITY_BENCH_CLOSED_LOOP_HPP

#include "laburnumreach/core/time.hpp"
#include "laburnumreach/http/endpoint.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace laburnumreach::capacity_bench
{

/// Settings of a closed loop of callers.
struct closed_loop_options
{
    http::endpoint target;
    std::string path;
    std::string key; ///< Sent as a bearer token; none when empty.
    std::size_t callers = 1;
    core::duration time = std::chrono::seconds{1};
};

/// Latencies of the complete responses with status 200.
struct closed_loop_result
{
    std::size_t completed = 0;
    std::size_t failed = 0;
    std::map<std::string, std::size_t> reasons; ///< Failures by Laburnum-Reason, or by status without one.
    double seconds = 0.0;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
};

/// Runs callers that each wait for the response before the next request, on connections of their own.
closed_loop_result run_closed_loop(const closed_loop_options& options);

} // namespace laburnumreach::capacity_bench

#endif
