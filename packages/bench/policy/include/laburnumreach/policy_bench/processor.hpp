#ifndef LABURNUMREACH_POLICY_BENCH_PROCESSOR_HPP
#define LABURNUMREACH_POLICY_BENCH_PROCESSOR_HPP

#include "laburnumreach/policy_bench/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace laburnumreach::policy_bench
{

/// Processor sharing: up to `parallel` jobs run at full speed, more jobs share it evenly.
class processor
{
public:
    processor(event_loop& events, double cores) : loop(events), parallel(cores) {}

    /// Runs a job.
    /// @param work time at full speed
    void run(core::duration work, std::function<void()> done);

    /// Changes the speed; 1 is normal.
    void set_speed(double factor);

private:
    void advance();
    void schedule();
    double rate() const;

    event_loop& loop;
    double parallel;
    double speed = 1.0;
    /// Work in nanoseconds that each running job has received since the start.
    double progress = 0.0;
    core::time_point updated{};
    /// Jobs by the progress at which they end.
    std::multimap<double, std::function<void()>> jobs;
    std::uint64_t generation = 0;
};

} // namespace laburnumreach::policy_bench

#endif
