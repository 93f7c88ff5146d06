#include "laburnumreach/sidecar/sidecar_metrics.hpp"

#include <limits>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace laburnumreach::sidecar
{

namespace
{

const std::string prefix = "laburnumreach_";

prometheus::MetricFamily histogram_family(const std::string& name, const latency_histogram& source)
{
    constexpr double milliseconds_per_second = 1000.0;
    prometheus::ClientMetric metric;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < source.buckets().size(); ++index)
    {
        cumulative += source.buckets()[index];
        prometheus::ClientMetric::Bucket bucket;
        bucket.cumulative_count = cumulative;
        bucket.upper_bound = index < latency_histogram::bounds_ms.size()
                                 ? latency_histogram::bounds_ms[index] / milliseconds_per_second
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back(bucket);
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = static_cast<double>(source.total_ms()) / milliseconds_per_second;
    return {.name = prefix + name, .help = {}, .type = prometheus::MetricType::Histogram, .metric = {metric}};
}

} // namespace

std::string sidecar_metrics::text() const
{
    std::vector<prometheus::MetricFamily> families;
    for (const auto& [key, value] : this->counters)
    {
        const auto& [name, label] = key;
        if (families.empty() || families.back().name != prefix + name)
        {
            families.push_back(
                {.name = prefix + name, .help = {}, .type = prometheus::MetricType::Counter, .metric = {}});
        }
        prometheus::ClientMetric metric;
        if (!label.empty())
        {
            metric.label.push_back({.name = "reason", .value = label});
        }
        metric.counter.value = static_cast<double>(value);
        families.back().metric.push_back(metric);
    }
    for (const auto& [name, value] : this->gauges)
    {
        prometheus::ClientMetric metric;
        metric.gauge.value = value;
        families.push_back({.name = prefix + name,
                            .help = {},
                            .type = prometheus::MetricType::Gauge,
                            .metric = {std::move(metric)}});
    }
    families.push_back(histogram_family("request_seconds", this->request_latency));
    families.push_back(histogram_family("run_seconds", this->run_latency));
    families.push_back(histogram_family("queue_wait_seconds", this->queue_wait));
    return prometheus::TextSerializer{}.Serialize(families);
}

} // namespace laburnumreach::sidecar
