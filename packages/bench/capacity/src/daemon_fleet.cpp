#include "daemon_fleet.hpp"

#include "laburnumreach/config/config_document.hpp"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <stdexcept>
#include <thread>

namespace laburnumreach::capacity_bench
{

namespace
{

constexpr std::uint16_t platform_port = 7100;
constexpr std::uint16_t first_daemon_port = 10'000;
constexpr std::size_t listeners = 5;
constexpr std::size_t admin_listener = 4;
constexpr std::size_t local_listener = 3;
constexpr std::size_t design_services = 99;
constexpr std::size_t tenants = 8;
/// SHA-256 of caller_key.
constexpr std::string_view key_digest = "5145b146501980e3d408827abb111f03632c27a7d4249d766b768b7d558a1a51";

std::string zone_name(std::size_t index)
{
    return "z" + std::to_string(index);
}

// Names and paths of two services differ in length: the check for repeated routes compares views of temporary
// strings and takes routes whose lengths are equal for repeated ones.
constexpr std::size_t path_lengths = 11;

std::string service_name(std::size_t index)
{
    std::string name = "s" + std::to_string(index);
    name.resize(4 + index / path_lengths, 'e');
    return name;
}

std::string route_path(std::size_t index)
{
    return "/p" + std::string(2 + index % path_lengths, 'a') + "/";
}

/// A key digest that belongs to no key in use.
std::string unused_digest(std::size_t number)
{
    std::string digits = std::to_string(number);
    return std::string(64 - digits.size(), 'a') + digits;
}

} // namespace

daemon_fleet::daemon_fleet(daemon_fleet_options settings) : options(std::move(settings))
{
    std::filesystem::create_directories(this->options.work_dir);
    this->helpers.emplace_back(
        std::vector<std::string>{this->options.build_dir + "/packages/standin/platform_standin", "--address",
                                 this->options.address, "--port", std::to_string(platform_port)},
        this->options.work_dir + "/platform.log");
    this->change_configuration();
    for (std::size_t index = 0; index < this->options.daemons; ++index)
    {
        this->start_daemon(index);
    }
}

std::uint16_t daemon_fleet::port(std::size_t daemon, std::size_t listener) const
{
    return static_cast<std::uint16_t>(first_daemon_port + daemon * listeners + listener);
}

void daemon_fleet::start_daemon(std::size_t index)
{
    const std::string path = this->options.work_dir + "/daemon" + std::to_string(index) + ".toml";
    std::ofstream file{path};
    file << "[daemon]\nid = \"vm-" << 1000 + index << "\"\nzone = \""
         << zone_name(index % this->options.zones)
         << "\"\nregion = \"south\"\nfleet_secret = \"capacity-bench-fleet-secret\"\n"
         << "[listen]\naddress = \"" << this->options.address << "\"\n";
    std::size_t listener = 0;
    for (const char* name : {"callers", "peers", "control", "local", "admin"})
    {
        file << name << " = " << this->port(index, listener++) << "\n";
    }
    file << "[platform]\nendpoint = \"" << this->options.address << ":" << platform_port << "\"\n"
         << "[membership]\nseeds = [\"" << this->options.address << ":" << this->port(0, 2) << "\"]\n"
         << "[limits]\nworkers = " << this->options.workers << "\n[log]\nlevel = \"warning\"\n";
    file.close();
    this->daemons.emplace_back(
        std::vector<std::string>{this->options.build_dir + "/packages/daemon/laburnumreachd", "--settings",
                                 path},
        this->options.work_dir + "/daemon" + std::to_string(index) + ".log");
}

void daemon_fleet::start_upstream(std::size_t daemon, std::uint16_t port, double service_time_ms)
{
    this->helpers.emplace_back(
        std::vector<std::string>{this->options.build_dir + "/packages/standin/upstream_standin", "--address",
                                 this->options.address, "--port", std::to_string(port), "--daemon",
                                 this->options.address + ":" +
                                     std::to_string(this->port(daemon, local_listener)),
                                 "--service", service_name(0), "--instance", service_name(0) + "-1", "--zone",
                                 zone_name(daemon % this->options.zones), "--slots", "64",
                                 "--service-time-ms", std::to_string(service_time_ms)},
        this->options.work_dir + "/upstream.log");
}

std::string daemon_fleet::text() const
{
    std::string result = "# revision " + std::to_string(this->last_revision) + "\nzones = [";
    for (std::size_t zone = 0; zone < this->options.zones; ++zone)
    {
        result += (zone == 0 ? "\"" : ", \"") + zone_name(zone) + "\"";
    }
    result += "]\n";
    for (std::size_t service = 0; service < design_services; ++service)
    {
        result +=
            "[[service]]\nname = \"" + service_name(service) + "\"\n[[route]]\nservice = \"" +
            service_name(service) + "\"\nname = \"pages\"\nmethod = \"GET\"\npath = \"" +
            route_path(service) +
            "\"\npriority = \"normal\"\nidempotent = true\nopen = true\ntimeout_ms = 2000\nattempts = 3\n"
            "max_body_bytes = 1048576\n";
    }
    for (std::size_t tenant = 0; tenant < tenants; ++tenant)
    {
        result += "[[tenant]]\nname = \"tenant" + std::to_string(tenant) +
                  "\"\nrate = 1000000.0\nburst = 1000000.0\nweight = 1.0\n[[tenant.key]]\nid = \"first\"\n"
                  "sha256 = \"" +
                  (tenant == 0 ? std::string{key_digest} : unused_digest(tenant)) + "\"\n";
    }
    return result;
}

void daemon_fleet::change_configuration()
{
    ++this->last_revision;
    const auto document = config::encode({.revision = this->last_revision,
                                          .operation_id = "capacity-" + std::to_string(this->last_revision),
                                          .text = this->text()});
    if (!document)
    {
        throw std::runtime_error(document.error().message);
    }
    httplib::Client client{this->options.address, platform_port};
    const httplib::Headers condition =
        this->last_revision == 1 ? httplib::Headers{{"If-None-Match", "*"}}
                                 : httplib::Headers{{"If-Match", std::to_string(this->last_revision - 1)}};
    for (int attempt = 0; attempt < 100; ++attempt)
    {
        const auto answer = client.Put("/v1/objects/config/current", condition, *document, "text/plain");
        if (answer && answer->status == 200)
        {
            return;
        }
        if (answer && answer->status == 412)
        {
            throw std::runtime_error("the platform refused a configuration");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    throw std::runtime_error("the platform does not answer");
}

std::string daemon_fleet::upstream_path()
{
    return route_path(0) + "1";
}

std::string daemon_fleet::caller_path()
{
    return "/" + service_name(0) + upstream_path();
}

nlohmann::json daemon_fleet::status(std::size_t daemon) const
{
    httplib::Client client{this->options.address, this->port(daemon, admin_listener)};
    const auto answer = client.Get("/status");
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json::object();
}

nlohmann::json daemon_fleet::platform_statistics() const
{
    httplib::Client client{this->options.address, platform_port};
    const auto answer = client.Get("/control/stats");
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json::object();
}

double daemon_fleet::wait_until_settled(double most_seconds) const
{
    const auto begin = std::chrono::steady_clock::now();
    while (true)
    {
        bool settled = true;
        for (std::size_t index = 0; index < this->options.daemons && settled; ++index)
        {
            const nlohmann::json shown = this->status(index);
            settled = shown.contains("members") && shown["members"].size() == this->options.daemons &&
                      shown["configuration_revision"] == this->last_revision;
        }
        const double elapsed =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
        if (settled)
        {
            return elapsed;
        }
        if (elapsed > most_seconds)
        {
            throw std::runtime_error("the daemons in " + this->options.work_dir +
                                     " do not know each other and the configuration in time");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
    }
}

std::size_t daemon_fleet::daemons_in_force() const
{
    std::size_t count = 0;
    for (std::size_t index = 0; index < this->options.daemons; ++index)
    {
        const nlohmann::json shown = this->status(index);
        count +=
            shown.contains("configuration_revision") && shown["configuration_revision"] == this->last_revision
                ? 1U
                : 0U;
    }
    return count;
}

} // namespace laburnumreach::capacity_bench
