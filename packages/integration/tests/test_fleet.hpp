#ifndef LABURNUMREACH_INTEGRATION_TESTS_TEST_FLEET_HPP
#define LABURNUMREACH_INTEGRATION_TESTS_TEST_FLEET_HPP

#include "laburnumreach/config/config_document.hpp"
#include "laburnumreach/config/key_digest.hpp"
#include "laburnumreach/daemon/daemon.hpp"
#include "laburnumreach/http/client_pool.hpp"
#include "laburnumreach/platform/config_repository.hpp"
#include "laburnumreach/platform/http_object_store.hpp"
#include "laburnumreach/standin/platform_standin.hpp"
#include "laburnumreach/standin/port_reservation.hpp"
#include "laburnumreach/standin/upstream_standin.hpp"

#include <cppunit/TestAssert.h>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace laburnumreach::integration
{

/// Bound against a hanging test; no verdict depends on the time measured.
inline constexpr core::duration wait_limit = std::chrono::seconds{60};

/// Waits until a condition holds.
inline void wait_until(const std::string& what, const std::function<bool()>& condition)
{
    const core::time_point end = core::boot_clock::now() + wait_limit;
    while (!condition())
    {
        CPPUNIT_ASSERT_MESSAGE("timeout: " + what, core::boot_clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

inline const std::string serra_key = "serra-key-0123456789";
inline const std::string marta_key = "marta-key-0123456789";

/// Two zones, each with one daemon and one upstream: front calls back.
class test_fleet
{
public:
    test_fleet() : platform(standin::platform_standin_options{})
    {
        CPPUNIT_ASSERT(this->platform.start().has_value());
        this->store = std::make_unique<platform::http_object_store>(
            platform::http_object_store_options{.address = "127.0.0.1", .port = this->platform.port()});
        this->apply(configuration(true));
        this->settings = {this->make_settings("vm-a1", "a"), this->make_settings("vm-b1", "b")};
        for (const config::daemon_settings& one : this->settings)
        {
            this->daemons.push_back(this->start_daemon(one));
        }
        this->add_upstream(0, "front", {{"/pages/", {"back/read"}}});
        this->add_upstream(1, "back", {});
        wait_until("the fleet serves",
                   [this]
                   {
                       return this->get(0, "/front/pages/1", serra_key).status == 200 &&
                              this->get(1, "/front/pages/1", marta_key).status == 200;
                   });
    }

    ~test_fleet()
    {
        for (auto& upstream : this->upstreams)
        {
            upstream->stop();
        }
        this->daemons.clear();
        this->platform.stop();
    }

    /// Returns the operators' text, with or without the key of tenant serra.
    static std::string configuration(bool with_serra_key)
    {
        const auto key = [](const std::string& text) {
            return "[[tenant.key]]\nid = \"one\"\nsha256 = \"" + to_hex(config::sha256_of_key(text)) + "\"\n";
        };
        return R"(zones = ["a", "b"]
[[service]]
name = "front"
depends_on = ["back"]
[[service]]
name = "back"
[[route]]
service = "front"
name = "page"
method = "GET"
path = "/pages/"
idempotent = true
open = true
timeout_ms = 30000
calls = ["back"]
[[route]]
service = "back"
name = "read"
method = "GET"
path = "/read"
idempotent = true
open = true
timeout_ms = 30000
[[route]]
service = "back"
name = "order"
method = "POST"
path = "/order"
priority = "critical"
open = true
timeout_ms = 30000
[[tenant]]
name = "marta"
rate = 1000.0
burst = 1000.0
)" + key(marta_key) +
               "[[tenant]]\nname = \"serra\"\nrate = 1000.0\nburst = 1000.0\n" +
               (with_serra_key ? key(serra_key) : "");
    }

    /// Stores a configuration as the next revision.
    void apply(const std::string& text)
    {
        platform::config_repository<platform::http_object_store> repository{*this->store};
        const auto current = repository.load();
        const std::uint64_t revision = current ? current->revision : 0;
        CPPUNIT_ASSERT(repository.apply(text, revision, "test-" + std::to_string(revision)).has_value());
    }

    /// Sends a request to the caller listener of a daemon.
    http::response send(std::size_t daemon, std::string_view method, const std::string& target,
                        const http::headers& headers, std::string_view body = {})
    {
        return this->exchange(this->settings.at(daemon).listen.callers, method, target, headers, body).answer;
    }

    http::response get(std::size_t daemon, const std::string& target, const std::string& key)
    {
        return this->send(daemon, "GET", target, {{"X-Api-Key", key}});
    }

    http::exchange_result exchange(std::uint16_t port, std::string_view method, const std::string& target,
                                   const http::headers& headers, std::string_view body = {})
    {
        return this->client.send({.address = "127.0.0.1", .port = port},
                                 {.method = method,
                                  .target = target,
                                  .headers = &headers,
                                  .body = body,
                                  .deadline = core::boot_clock::now() + wait_limit});
    }

    std::string admin(std::size_t daemon, const std::string& target)
    {
        return this->exchange(this->settings.at(daemon).listen.admin, "GET", target, {}).answer.body;
    }

    nlohmann::json record(std::size_t upstream)
    {
        return nlohmann::json::parse(
            this->exchange(this->upstreams.at(upstream)->port(), "GET", "/control/record", {}).answer.body);
    }

    void set_upstream_faults(std::size_t upstream, const std::string& json)
    {
        this->exchange(this->upstreams.at(upstream)->port(), "POST", "/control/faults", {}, json);
    }

    void set_platform_faults(const std::string& json)
    {
        this->exchange(this->platform.port(), "POST", "/control/faults", {}, json);
    }

    std::vector<config::daemon_settings> settings;
    std::vector<std::unique_ptr<daemon::daemon>> daemons;
    std::vector<std::unique_ptr<standin::upstream_standin>> upstreams;

private:
    /// Returns a port that stays reserved for a listener of this fleet.
    std::uint16_t reserve_port() { return this->ports.emplace_back().port(); }

    config::daemon_settings make_settings(const std::string& id, const std::string& zone)
    {
        config::daemon_settings one;
        one.id = id;
        one.zone = zone;
        one.region = "south";
        one.fleet_secret = "0123456789abcdef0123";
        one.listen = {.address = "127.0.0.1",
                      .callers = this->reserve_port(),
                      .peers = this->reserve_port(),
                      .control = this->reserve_port(),
                      .local = this->reserve_port(),
                      .admin = this->reserve_port()};
        one.platform.address = {.address = "127.0.0.1", .port = this->platform.port()};
        one.limits.workers = 24;
        one.level = config::log_level::error;
        if (!this->settings.empty() || id != "vm-a1")
        {
            one.seeds = {{.address = "127.0.0.1", .port = this->first_control_port}};
        }
        this->first_control_port =
            this->first_control_port == 0 ? one.listen.control : this->first_control_port;
        return one;
    }

    std::unique_ptr<daemon::daemon> start_daemon(const config::daemon_settings& one)
    {
        auto started = daemon::daemon::start(one);
        CPPUNIT_ASSERT_MESSAGE(started ? "" : started.error().message, started.has_value());
        return std::move(*started);
    }

    void add_upstream(std::size_t daemon, const std::string& service,
                      const std::vector<std::pair<std::string, std::vector<std::string>>>& calls)
    {
        standin::upstream_standin_options options;
        options.daemon = standin::parse_loopback_address(
                             "127.0.0.1:" + std::to_string(this->settings.at(daemon).listen.local))
                             .value();
        options.service = service;
        options.instance = service + "-1";
        options.zone = this->settings.at(daemon).zone;
        options.forbidden_texts = {serra_key, marta_key};
        for (const auto& [prefix, targets] : calls)
        {
            options.dependencies.push_back(
                standin::parse_dependency_rule(prefix + "=GET:" + targets.front()).value());
        }
        auto upstream = std::make_unique<standin::upstream_standin>(options);
        CPPUNIT_ASSERT(upstream->start().has_value());
        this->upstreams.push_back(std::move(upstream));
    }

    std::vector<standin::port_reservation> ports;
    standin::platform_standin platform;
    std::unique_ptr<platform::http_object_store> store;
    http::client_pool client{http::client_pool_options{}};
    std::uint16_t first_control_port = 0;
};

} // namespace laburnumreach::integration

#endif
