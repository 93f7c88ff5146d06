#include "laburnumreach/config/daemon_settings_toml.hpp"

#include "toml_reader.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace laburnumreach::config
{

namespace
{

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_secret_bytes = 4096;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_seeds = 1000;
constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::int64_t max_limit_s = 7 * 86'400;
constexpr std::int64_t max_bytes = 1LL << 34;

/// Reads the secret file; reports an error when it cannot be read.
std::string read_secret_file(toml_reader& section, const std::filesystem::path& base_directory)
{
    const std::string name = section.string("fleet_secret_file");
    std::ifstream file{base_directory / name, std::ios::binary};
    // One byte more than the longest secret with its line feed, so that a longer file is detected.
    std::string secret(max_secret_bytes + 2, '\0');
    file.read(secret.data(), static_cast<std::streamsize>(secret.size()));
    if (file.bad() || (file.fail() && !file.eof()))
    {
        section.add_error("fleet_secret_file", "the file '" + name + "' cannot be read");
        return {};
    }
    secret.resize(static_cast<std::size_t>(file.gcount()));
    if (!secret.empty() && secret.back() == '\n')
    {
        secret.pop_back();
    }
    return secret;
}

std::string read_secret(toml_reader& section, const std::filesystem::path& base_directory)
{
    const bool has_file = section.has("fleet_secret_file");
    if (has_file == section.has("fleet_secret"))
    {
        section.string("fleet_secret_file", "");
        section.string("fleet_secret", "");
        section.add_error(has_file ? "fleet_secret" : "", "exactly one of 'fleet_secret' and "
                                                          "'fleet_secret_file' must be given");
        return {};
    }
    std::string secret =
        has_file ? read_secret_file(section, base_directory) : section.string("fleet_secret");
    if (secret.size() < min_secret_bytes || secret.size() > max_secret_bytes)
    {
        section.add_error(has_file ? "fleet_secret_file" : "fleet_secret",
                          "the fleet secret must have " + std::to_string(min_secret_bytes) + " to " +
                              std::to_string(max_secret_bytes) + " bytes");
    }
    return secret;
}

void read_listen(toml_reader section, listen_settings& listen)
{
    listen.address = section.string("address", listen.address);
    if (!is_ip_address(listen.address))
    {
        section.add_error("address", "'address' must be an IP address");
    }
    const std::array<std::pair<std::string_view, std::uint16_t*>, 5> ports{{{"callers", &listen.callers},
                                                                            {"peers", &listen.peers},
                                                                            {"control", &listen.control},
                                                                            {"local", &listen.local},
                                                                            {"admin", &listen.admin}}};
    for (std::size_t index = 0; index < ports.size(); ++index)
    {
        const std::string_view name = ports[index].first;
        std::uint16_t* const port = ports[index].second;
        const std::optional<std::int64_t> number = section.required_integer(name, 1, 65535);
        if (!number)
        {
            *port = 0; // Reported already; no other port is a duplicate of it.
            continue;
        }
        *port = static_cast<std::uint16_t>(*number);
        const auto duplicate = std::find_if(ports.begin(), ports.begin() + static_cast<std::ptrdiff_t>(index),
                                            [&](const auto& other) { return *other.second == *port; });
        if (duplicate != ports.begin() + static_cast<std::ptrdiff_t>(index))
        {
            section.add_error(name, "'" + std::string{name} + "' has the same port as '" +
                                        std::string{duplicate->first} + "'");
        }
    }
    section.report_unknown_names();
}

void read_platform(toml_reader section, platform_settings& platform)
{
    if (const auto address = parse_endpoint(section.string("endpoint")))
    {
        platform.address = *address;
    }
    else if (section.has("endpoint"))
    {
        section.add_error("endpoint", "'endpoint' must be an IP address and a port, like 127.0.0.1:7100");
    }
    platform.request_timeout = std::chrono::milliseconds{
        section.integer("request_timeout_ms", platform.request_timeout.count(), 1, max_timeout_ms)};
    section.report_unknown_names();
}

void read_membership(toml_reader section, std::vector<endpoint>& seeds)
{
    const auto texts = section.strings("seeds", max_seeds);
    for (std::size_t index = 0; index < texts.size(); ++index)
    {
        if (auto seed = parse_endpoint(texts[index]))
        {
            seeds.push_back(*std::move(seed));
        }
        else
        {
            section.add_error_at("seeds", index,
                                 "a seed must be an IP address and a port, like 127.0.0.1:7013");
        }
    }
    section.report_unknown_names();
}

void read_limits(toml_reader section, limit_settings& limits)
{
    const auto count = [&](std::string_view name, std::uint32_t fallback, std::int64_t max)
    { return static_cast<std::uint32_t>(section.integer(name, fallback, 1, max)); };
    const auto bytes = [&](std::string_view name, std::uint64_t fallback)
    {
        return static_cast<std::uint64_t>(
            section.integer(name, static_cast<std::int64_t>(fallback), 1, max_bytes));
    };
    const auto seconds = [&](std::string_view name, std::chrono::seconds fallback)
    { return std::chrono::seconds{section.integer(name, fallback.count(), 1, max_limit_s)}; };
    limits.workers = count("workers", limits.workers, 4096);
    limits.max_connections = count("max_connections", limits.max_connections, 100'000);
    limits.max_depth = count("max_depth", limits.max_depth, 100);
    limits.max_body_bytes = bytes("max_body_bytes", limits.max_body_bytes);
    limits.body_budget_bytes = bytes("body_budget_bytes", limits.body_budget_bytes);
    limits.key_staleness_limit = seconds("key_staleness_limit_s", limits.key_staleness_limit);
    limits.isolation_limit = seconds("isolation_limit_s", limits.isolation_limit);
    if (limits.body_budget_bytes < limits.max_body_bytes)
    {
        section.add_error("body_budget_bytes", "'body_budget_bytes' must not be less than 'max_body_bytes'");
    }
    section.report_unknown_names();
}

log_level read_log(toml_reader section)
{
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    const std::string level = section.string("level", "info");
    const auto found = std::find(names.begin(), names.end(), level);
    if (found == names.end())
    {
        section.add_error("level", "'level' must be debug, info, warning or error");
    }
    section.report_unknown_names();
    return found == names.end() ? log_level::info
                                : static_cast<log_level>(std::distance(names.begin(), found));
}

} // namespace

parse_result<daemon_settings> parse_daemon_settings(std::string_view text,
                                                    const std::filesystem::path& base_directory)
{
    parse_error_list errors;
    const auto root = parse_toml(text, errors);
    if (!root)
    {
        return tl::unexpected{std::move(errors).sorted()};
    }
    daemon_settings settings;
    toml_reader reader{*root, errors};
    toml_reader section = reader.table("daemon");
    settings.id = section.name("id", max_name_bytes);
    settings.zone = section.name("zone", max_name_bytes);
    settings.region = section.name("region", max_name_bytes);
    settings.fleet_secret = read_secret(section, base_directory);
    settings.shutdown_timeout = std::chrono::milliseconds{
        section.integer("shutdown_timeout_ms", settings.shutdown_timeout.count(), 1, max_timeout_ms)};
    section.report_unknown_names();
    read_listen(reader.table("listen"), settings.listen);
    read_platform(reader.table("platform"), settings.platform);
    read_membership(reader.table("membership"), settings.seeds);
    read_limits(reader.table("limits"), settings.limits);
    settings.level = read_log(reader.table("log"));
    reader.report_unknown_names();
    if (!errors.empty())
    {
        return tl::unexpected{std::move(errors).sorted()};
    }
    return settings;
}

} // namespace laburnumreach::config
