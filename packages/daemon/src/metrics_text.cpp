#include "laburnumreach/daemon/metrics_text.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <vector>

namespace laburnumreach::daemon
{

namespace
{

using family_list = std::vector<prometheus::MetricFamily>;

prometheus::ClientMetric::Label label(std::string_view name, std::string_view value)
{
    prometheus::ClientMetric::Label result;
    result.name = name;
    result.value = value;
    return result;
}

prometheus::MetricFamily family(std::string_view name, std::string_view help, prometheus::MetricType type)
{
    prometheus::MetricFamily result;
    result.name = "laburnumreach_" + std::string{name};
    result.help = help;
    result.type = type;
    return result;
}

void add_value(prometheus::MetricFamily& target, std::vector<prometheus::ClientMetric::Label> labels,
               double value)
{
    prometheus::ClientMetric metric;
    metric.label = std::move(labels);
    if (target.type == prometheus::MetricType::Counter)
    {
        metric.counter.value = value;
    }
    else
    {
        metric.gauge.value = value;
    }
    target.metric.push_back(std::move(metric));
}

void add_single(family_list& families, std::string_view name, std::string_view help,
                prometheus::MetricType type, double value)
{
    prometheus::MetricFamily single = family(name, help, type);
    add_value(single, {}, value);
    families.push_back(std::move(single));
}

void add_reasons(family_list& families, std::string_view name, std::string_view help,
                 const core::reason_counters& counters)
{
    prometheus::MetricFamily result = family(name, help, prometheus::MetricType::Counter);
    for (const core::reason why : core::all_reasons().subspan(1))
    {
        add_value(result, {label("reason", core::to_string(why))}, static_cast<double>(counters.count(why)));
    }
    families.push_back(std::move(result));
}

void add_classes(family_list& families, const daemon_metrics& metrics)
{
    prometheus::MetricFamily answers =
        family("answers_total", "Whole answers to callers.", prometheus::MetricType::Counter);
    prometheus::MetricFamily latency =
        family("latency_seconds", "Time from a caller's request to its whole answer.",
               prometheus::MetricType::Summary);
    for (std::size_t index = 0; index < core::priority_class_count; ++index)
    {
        const std::string_view cls = core::to_string(static_cast<core::priority_class>(index));
        add_value(answers, {label("class", cls)}, static_cast<double>(metrics.answers.at(index).load()));
        prometheus::ClientMetric summary;
        summary.label = {label("class", cls)};
        summary.summary.sample_count = metrics.latency.at(index).count();
        summary.summary.sample_sum = metrics.latency.at(index).sum_seconds();
        for (const double quantile : core::latency_summary::quantiles)
        {
            prometheus::ClientMetric::Quantile value;
            value.quantile = quantile;
            value.value = metrics.latency.at(index).quantile_seconds(quantile);
            summary.summary.quantile.push_back(value);
        }
        latency.metric.push_back(std::move(summary));
    }
    families.push_back(std::move(answers));
    families.push_back(std::move(latency));
}

void add_servers(family_list& families, std::span<const named_server_counters> servers)
{
    prometheus::MetricFamily faults =
        family("malformed_requests_total", "Requests refused by the strict checks.",
               prometheus::MetricType::Counter);
    prometheus::MetricFamily connections =
        family("open_connections", "Open connections.", prometheus::MetricType::Gauge);
    prometheus::MetricFamily refused =
        family("refused_connections_total", "Connections over the limit.", prometheus::MetricType::Counter);
    for (const named_server_counters& server : servers)
    {
        for (std::size_t index = 0; index < http::message_error_count; ++index)
        {
            const auto error = static_cast<http::message_error>(index);
            add_value(faults, {label("listener", server.name), label("fault", http::to_string(error))},
                      static_cast<double>(server.counters->error_count(error)));
        }
        add_value(connections, {label("listener", server.name)},
                  static_cast<double>(server.counters->open_connections.load()));
        add_value(refused, {label("listener", server.name)},
                  static_cast<double>(server.counters->refused_connections.load()));
    }
    families.push_back(std::move(faults));
    families.push_back(std::move(connections));
    families.push_back(std::move(refused));
}

} // namespace

std::string metrics_text(const daemon_state& state, std::span<const named_server_counters> servers)
{
    constexpr auto counter = prometheus::MetricType::Counter;
    constexpr auto gauge = prometheus::MetricType::Gauge;
    const daemon_metrics& metrics = state.metrics;
    const upstream_gateway::gauges upstream = state.gateway.current();
    const auto config = state.configuration();
    family_list families;
    add_single(families, "requests_total", "Requests of callers.", counter,
               static_cast<double>(metrics.requests.load()));
    add_single(families, "exit_calls_total", "Calls of other daemons to the upstream.", counter,
               static_cast<double>(metrics.exit_calls.load()));
    add_single(families, "nested_calls_total", "Calls of the upstream to other services.", counter,
               static_cast<double>(metrics.nested_calls.load()));
    add_reasons(families, "refusals_total", "Requests of callers without a whole answer, by reason.",
                metrics.refusals);
    add_reasons(families, "exit_refusals_total", "Calls of other daemons without an answer, by reason.",
                metrics.exit_refusals);
    add_reasons(families, "nested_refusals_total", "Calls of the upstream without an answer, by reason.",
                metrics.nested_refusals);
    add_reasons(families, "retries_total", "Further attempts, by the reason of the failure before.",
                metrics.retries);
    add_classes(families, metrics);
    add_single(families, "silent_connections_total",
               "Exchanges given up because their connection went silent.", counter,
               static_cast<double>(metrics.silent_connections.load()));
    add_single(families, "withdrawn_calls_total", "Running calls cancelled because their key was withdrawn.",
               counter, static_cast<double>(metrics.withdrawn_calls.load()));
    add_single(families, "control_messages_refused_total",
               "Control messages that were forged, damaged or misrouted.", counter,
               static_cast<double>(metrics.control_messages_refused.load()));
    add_single(families, "upstream_in_flight", "Calls running on the upstream.", gauge, upstream.in_flight);
    add_single(families, "upstream_limit", "Concurrency limit of the upstream.", gauge, upstream.limit);
    add_single(families, "upstream_queue", "Calls waiting for the upstream.", gauge,
               static_cast<double>(upstream.queued));
    add_single(families, "request_body_bytes", "Bytes of request bodies held.", gauge,
               static_cast<double>(state.bodies.used_bytes()));
    add_single(families, "configuration_revision", "Revision of the configuration in force.", gauge,
               config ? static_cast<double>(config->revision()) : 0.0);
    add_servers(families, servers);
    return prometheus::TextSerializer{}.Serialize(families);
}

} // namespace laburnumreach::daemon
