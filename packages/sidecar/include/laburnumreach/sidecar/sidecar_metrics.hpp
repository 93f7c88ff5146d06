#ifndef LABURNUMREACH_SIDECAR_SIDECAR_METRICS_HPP
#define LABURNUMREACH_SIDECAR_SIDECAR_METRICS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laburnumreach::sidecar
{

/// Histogram of latencies with fixed buckets.
class latency_histogram
{
public:
    /// Upper bounds in milliseconds; the last bucket holds longer latencies.
    static constexpr std::array<std::uint32_t, 11> bounds_ms{1,   5,   10,   25,   50,  100,
                                                             250, 500, 1000, 2500, 5000};

    void add(std::uint32_t milliseconds)
    {
        std::size_t bucket = 0;
        while (bucket < bounds_ms.size() && milliseconds > bounds_ms[bucket])
        {
            ++bucket;
        }
        ++this->counts[bucket];
        this->sum_ms += milliseconds;
    }

    const std::array<std::uint64_t, bounds_ms.size() + 1>& buckets() const noexcept { return this->counts; }
    std::uint64_t total_ms() const noexcept { return this->sum_ms; }

private:
    std::array<std::uint64_t, bounds_ms.size() + 1> counts{};
    std::uint64_t sum_ms = 0;
};

/// Counters and histograms of one daemon. Used by the traffic thread only.
class sidecar_metrics
{
public:
    /// Adds to a counter.
    /// @param name metric name without prefix
    /// @param label value of the label "reason"; empty for none
    void count(std::string_view name, std::string_view label = {}, std::uint64_t amount = 1)
    {
        this->counters[{std::string{name}, std::string{label}}] += amount;
    }

    /// Sets a gauge.
    /// @param name metric name without prefix
    void set(std::string_view name, double value) { this->gauges[std::string{name}] = value; }

    latency_histogram request_latency; ///< From a complete request to its response, at the caller's daemon.
    latency_histogram run_latency;     ///< Run time on a slot of the instance.
    latency_histogram queue_wait;      ///< Time in the queue for a slot.

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> counters;
    std::map<std::string, double> gauges;
};

} // namespace laburnumreach::sidecar

#endif
