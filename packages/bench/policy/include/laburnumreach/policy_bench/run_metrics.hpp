#ifndef LABURNUMREACH_POLICY_BENCH_RUN_METRICS_HPP
#define LABURNUMREACH_POLICY_BENCH_RUN_METRICS_HPP

#include "laburnumreach/core/reason.hpp"
#include "laburnumreach/policy_bench/scenario.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnumreach::policy_bench
{

/// Outcome of one request of a client. A retry by the client is a request of its own.
struct request_record
{
    core::duration arrival{0}; ///< Since the start of the run.
    core::duration end{0};
    core::priority_class cls = core::priority_class::normal;
    std::size_t tenant = 0;
    bool completed = false;
    core::reason why = core::reason::none;
    std::uint32_t attempts = 1; ///< 1 and the retries of all hops.
    core::duration work{0};     ///< Work that upstreams did for it.
};

/// Counts of 100 ms.
struct series_point
{
    std::uint32_t offered = 0;
    std::uint32_t completed = 0;  ///< By the time of the answer.
    std::uint32_t failed = 0;     ///< Of those that were offered in the bucket.
    std::uint32_t deep_calls = 0; ///< Calls that reached the last service.
    double deep_level = 0.0;      ///< Mean admission level of the last service.
};

/// Figures of one run that are compared with the targets; shares are in [0, 1].
struct run_summary
{
    std::string policy;
    double goodput_share = 0.0;   ///< Of the smaller one of bottleneck capacity and offered rate.
    double important_share = 0.0; ///< Completed requests of the critical classes during the trigger.
    /// Time after the end of the trigger during which requests fail although the bottleneck is not fully
    /// used. Clients that come back after a refusal can exceed its capacity for longer than the trigger
    /// lasts.
    double recovery_seconds = 0.0;
    /// Time from the end of the trigger until all requests complete.
    double last_failures_seconds = 0.0;
    double worst_tenant_share = 0.0; ///< Of its max-min fair share of each class.
    double wasted_work_share = 0.0;
    double mean_attempts = 0.0; ///< During the trigger.
    std::uint32_t max_attempts = 0;
    std::array<double, core::priority_class_count> completed_share{}; ///< During the trigger.
    double alert_p99_ms = 0.0; ///< Latency of completed critical_fast requests during the trigger.
    std::uint64_t requests = 0;
    std::array<std::uint64_t, core::reason_count> failures{};
    bool slots_exceeded = false;
    std::vector<series_point> series;
};

/// Collects the records of one run.
class run_metrics
{
public:
    static constexpr core::duration bucket = milliseconds{100};

    explicit run_metrics(const scenario& measured);

    void add(const request_record& record);
    void add_deep_call(core::duration when) { ++this->at(when).deep_calls; }
    void add_deep_level(core::duration when, double level) { this->at(when).deep_level = level; }
    void slots_exceeded() { this->exceeded = true; }

    run_summary summarise(std::string policy) const;

private:
    series_point& at(core::duration when);
    void measure_recovery(run_summary& result) const;
    double worst_tenant_share() const;

    const scenario& measured;
    std::vector<request_record> records;
    std::vector<series_point> series;
    bool exceeded = false;
};

} // namespace laburnumreach::policy_bench

#endif
