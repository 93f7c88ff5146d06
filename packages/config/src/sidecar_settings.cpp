#include "laburnumreach/config/sidecar_settings.hpp"

#include "toml_reader.hpp"

#include <algorithm>
#include <optional>

namespace laburnumreach::config
{

namespace
{

constexpr std::size_t max_name_bytes = 128;
constexpr std::int64_t max_port = 65'535;
constexpr double max_seconds = 3600;
constexpr double max_requests = 1e6;
constexpr unsigned bits_per_mb = 20;
constexpr std::int64_t default_body_memory_mb = 48;
/// Memory of a process without messages, with the tables of a fleet of hundreds of daemons.
constexpr std::int64_t process_memory_mb = 48;
constexpr std::int64_t min_descriptors = 64;
constexpr std::int64_t max_descriptors = 1'048'576;
/// The largest response has 16 MiB, and as much is kept for callers' daemons that reconnect.
constexpr std::int64_t min_body_memory_mb = 40;
constexpr std::int64_t max_body_memory_mb = 65'536;

endpoint read_endpoint(toml_reader& section, std::string_view name)
{
    const std::string text = section.string(name);
    const std::optional<endpoint> parsed = parse_endpoint(text);
    if (!parsed && section.has(name))
    {
        section.add_error(name, "'" + std::string{name} + "' must be an IP address and a port");
    }
    return parsed.value_or(endpoint{});
}

std::string read_ip_number(toml_reader& section, std::string_view name,
                           std::optional<std::string_view> fallback)
{
    std::string text = section.string(name, fallback);
    if (section.has(name) && !is_ip_address(text))
    {
        section.add_error(name, "'" + std::string{name} + "' must be an IP address");
    }
    return text;
}

std::chrono::milliseconds read_seconds(toml_reader& section, std::string_view name,
                                       std::chrono::milliseconds fallback)
{
    using seconds = std::chrono::duration<double>;
    const double value = section.number(name, seconds{fallback}.count(),
                                        {.min = 0, .max = max_seconds, .exclusive_min = true});
    return std::chrono::duration_cast<std::chrono::milliseconds>(seconds{value});
}

std::uint16_t read_port(toml_reader& section, std::string_view name)
{
    return static_cast<std::uint16_t>(section.integer(name, std::nullopt, 1, max_port));
}

} // namespace

parse_result<sidecar_settings> parse_sidecar_settings(std::string_view text, const granted_resources& granted)
{
    parse_error_list errors;
    const std::optional<toml::table> parsed = parse_toml(text, errors);
    if (!parsed)
    {
        return tl::unexpected{std::move(errors).sorted()};
    }
    sidecar_settings settings;
    toml_reader root{*parsed, errors};

    toml_reader daemon = root.table("daemon");
    settings.daemon_id = daemon.name("id", max_name_bytes);
    settings.zone = daemon.name("zone", max_name_bytes);
    settings.first_start = daemon.boolean("first_start", settings.first_start);

    toml_reader upstream = root.table("upstream");
    settings.service = upstream.name("service", max_name_bytes);
    settings.upstream = read_endpoint(upstream, "address");
    settings.drain_limit = read_seconds(upstream, "drain_s", settings.drain_limit);

    toml_reader listen = root.table("listen");
    settings.outbound = read_endpoint(listen, "outbound");
    settings.ready = read_endpoint(listen, "ready");
    settings.control = read_endpoint(listen, "control");
    settings.peers.address = read_ip_number(listen, "address", std::nullopt);
    settings.announced_address = read_ip_number(listen, "announced_address", settings.peers.address);
    settings.peers.port = read_port(listen, "peer_port");
    settings.metrics_port = read_port(listen, "metrics_port");

    toml_reader store = root.table("store");
    settings.store = read_endpoint(store, "address");

    toml_reader limits = root.table("limits");
    settings.stop_grace = read_seconds(limits, "stop_grace_s", settings.stop_grace);
    settings.retry_ratio = limits.number("retry_ratio", settings.retry_ratio, {.min = 0, .max = 1});
    settings.retry_slack =
        limits.number("retry_slack", settings.retry_slack, {.min = 0, .max = max_requests});
    settings.retry_window = read_seconds(limits, "retry_window_s", settings.retry_window);
    // Half of what the VM has for messages, since some are held twice.
    const std::int64_t memory_mb = limits.integer("memory_mb", granted.memory_mb, 0, max_body_memory_mb);
    const std::int64_t derived_mb = std::max((memory_mb - process_memory_mb) / 2, min_body_memory_mb);
    const std::int64_t fallback_mb = memory_mb == 0 ? default_body_memory_mb : derived_mb;
    settings.max_descriptors = static_cast<std::size_t>(
        limits.integer("max_descriptors", granted.max_descriptors, 0, max_descriptors));
    if (settings.max_descriptors != 0 && settings.max_descriptors < min_descriptors)
    {
        limits.add_error("max_descriptors", "'max_descriptors' must be 0, for no limit, or at least " +
                                                std::to_string(min_descriptors));
    }
    settings.body_memory = static_cast<std::size_t>(limits.integer("body_memory_mb", fallback_mb,
                                                                   min_body_memory_mb, max_body_memory_mb))
                           << bits_per_mb;

    for (toml_reader* section : {&daemon, &upstream, &listen, &store, &limits, &root})
    {
        section->report_unknown_names();
    }
    if (!errors.empty())
    {
        return tl::unexpected{std::move(errors).sorted()};
    }
    return settings;
}

} // namespace laburnumreach::config
