#include "laburnumreach/standin/platform_standin.hpp"

#include "http_probe.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <thread>
#include <vector>

namespace laburnumreach::standin
{

/// Guards against a stand-in that breaks the contract of the object API, which would make every test of the
/// platform client worthless.
class platform_standin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_standin_test);
    CPPUNIT_TEST(conditional_updates);
    CPPUNIT_TEST(version_continues_after_delete);
    CPPUNIT_TEST(list_by_prefix);
    CPPUNIT_TEST(watch_returns_the_next_write);
    CPPUNIT_TEST(faults);
    CPPUNIT_TEST(refused_connections_and_return);
    CPPUNIT_TEST(outage_ends_waiting_watches);
    CPPUNIT_TEST(call_rates);
    CPPUNIT_TEST(second_bind_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->platform.emplace(platform_standin_options{.server = {.control_port = std::uint16_t{0}}});
        CPPUNIT_ASSERT(this->platform->start());
        this->probe.emplace(this->platform->port());
        const std::string line = this->platform->ready_line();
        const auto control_port = static_cast<std::uint16_t>(std::stoi(line.substr(line.rfind('=') + 1)));
        this->control.emplace(control_port);
    }

    void tearDown() override { this->platform->stop(); }

    void conditional_updates()
    {
        const std::string large(1024 * 1024 + 1, 'x');
        struct step
        {
            std::string method;
            std::string value;
            httplib::Headers headers;
            int status;
        };
        const std::vector<step> steps{
            {"PUT", "a", {{"If-Match", "1"}}, 412},      {"PUT", "a", {{"If-None-Match", "*"}}, 200},
            {"PUT", "b", {{"If-None-Match", "*"}}, 412}, {"PUT", "b", {{"If-Match", "1"}}, 200},
            {"PUT", "c", {{"If-Match", "1"}}, 412},      {"PUT", "c", {}, 400},
            {"PUT", large, {{"If-Match", "2"}}, 413},    {"DELETE", "", {{"If-Match", "1"}}, 412},
            {"DELETE", "", {{"If-Match", "2"}}, 204},    {"DELETE", "", {{"If-Match", "3"}}, 412},
        };
        for (const step& each : steps)
        {
            const auto response = this->probe->send(each.method, "/v1/objects/x", each.value, each.headers);
            CPPUNIT_ASSERT_EQUAL(each.status, response.status);
        }
        const nlohmann::json history = this->probe->get_json("/control/history?name=x");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history["writes"].size());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, history["writes"][1]["value"].get<std::string>());
    }

    void version_continues_after_delete()
    {
        this->create("x", "a");
        this->probe->send("DELETE", "/v1/objects/x", "", {{"If-Match", "1"}});
        CPPUNIT_ASSERT_EQUAL(404, this->probe->send("GET", "/v1/objects/x").status);
        CPPUNIT_ASSERT(this->create("x", "b") > 1);
    }

    void list_by_prefix()
    {
        for (const char* const name : {"zone/a", "zone/b", "zonf", "config/current"})
        {
            this->create(name, name);
        }
        const nlohmann::json listed = this->probe->get_json("/v1/objects?prefix=zone/");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed["objects"].size());
        CPPUNIT_ASSERT_EQUAL(std::string{"zone/b"}, listed["objects"][1]["name"].get<std::string>());
    }

    void watch_returns_the_next_write()
    {
        this->create("x", "a");
        CPPUNIT_ASSERT_EQUAL(204, this->probe->send("GET", watch_path(1, 1)).status);
        http_probe watcher{this->platform->port()};
        httplib::Response seen;
        std::thread watching{[&] { seen = watcher.send("GET", watch_path(1, 60000)); }};
        // Whether the write comes before or after the watch, the watch must report it.
        this->probe->send("PUT", "/v1/objects/x", "b", {{"If-Match", "1"}});
        watching.join();
        CPPUNIT_ASSERT_EQUAL(200, seen.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, nlohmann::json::parse(seen.body)["value"].get<std::string>());
    }

    void faults()
    {
        using failure = local_client::failure;
        struct fault_case
        {
            std::string fault;
            std::string method;
            std::string path;
            httplib::Headers headers;
            failure ended;
            int status;
            std::string body_part;
            int stored_version; ///< Afterwards; it tells whether a write took effect.
        };
        const httplib::Headers own{{"Laburnum-Daemon", "vm-a1"}, {"Laburnum-Zone", "a"}};
        const httplib::Headers write{{"Laburnum-Daemon", "vm-a1"}, {"Laburnum-Zone", "a"}, {"If-Match", "2"}};
        const std::string object = "/v1/objects/x";
        const std::vector<fault_case> cases{
            {R"({"kind":"outage"})", "GET", object, own, failure::none, 503, "", 2},
            {R"({"kind":"outage"})", "PUT", object, write, failure::none, 503, "", 2},
            {R"({"kind":"outage","mode":"close"})", "PUT", object, write, failure::broken, -1, "", 2},
            {R"({"kind":"outage","daemons":["vm-a1"]})", "GET", object, own, failure::none, 503, "", 2},
            {R"({"kind":"outage","daemons":["vm-b1"]})", "GET", object, own, failure::none, 200, "", 2},
            {R"({"kind":"outage","zones":["a"]})", "GET", object, own, failure::none, 503, "", 2},
            {R"({"kind":"outage","zones":["b"]})", "GET", object, own, failure::none, 200, "", 2},
            {R"({"kind":"slow","delay_ms":1})", "PUT", object, write, failure::none, 200, "3", 3},
            {R"({"kind":"lose_write_answers"})", "PUT", object, write, failure::broken, -1, "", 3},
            {R"({"kind":"lose_write_answers","count":0})", "PUT", object, write, failure::none, 200, "3", 3},
            {R"({"kind":"lose_write_answers"})", "DELETE", object, write, failure::broken, -1, "", 0},
            {R"({"kind":"stale_reads","versions_behind":1})", "GET", object, own, failure::none, 200, "old",
             2},
            {R"({"kind":"repeat_watch_events"})", "GET", watch_path(2, 60000), own, failure::none, 200, "new",
             2},
        };
        for (const fault_case& each : cases)
        {
            this->tearDown();
            this->setUp();
            this->create("x", "old");
            this->probe->send("PUT", object, "new", {{"If-Match", "1"}});
            this->set_faults(each.fault);
            const auto response =
                this->probe->send(each.method, each.path, each.method == "PUT" ? "v" : "", each.headers);
            CPPUNIT_ASSERT_MESSAGE(each.fault, each.ended == this->probe->failure());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.fault, each.status, response.status);
            CPPUNIT_ASSERT_MESSAGE(each.fault, response.body.find(each.body_part) != std::string::npos);
            this->set_faults("");
            const nlohmann::json stored = this->probe->get_json(object);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.fault, each.stored_version, stored.value("version", 0));
        }
    }

    void refused_connections_and_return()
    {
        this->create("x", "a");
        this->set_faults(R"({"kind":"outage","mode":"refuse"})");
        http_probe fresh{this->platform->port()};
        fresh.send("GET", "/v1/objects/x");
        CPPUNIT_ASSERT(fresh.failure() == local_client::failure::connect);
        this->set_faults("");
        CPPUNIT_ASSERT_EQUAL(200, fresh.send("GET", "/v1/objects/x").status);
    }

    void outage_ends_waiting_watches()
    {
        this->create("x", "a");
        http_probe watcher{this->platform->port()};
        httplib::Response seen;
        std::thread watching{[&] { seen = watcher.send("GET", watch_path(1, 60000)); }};
        this->set_faults(R"({"kind":"outage"})");
        watching.join();
        CPPUNIT_ASSERT_EQUAL(503, seen.status);
    }

    void call_rates()
    {
        const core::time_point start{};
        call_rate rate{2.0, start};
        CPPUNIT_ASSERT(rate.allow(start) && rate.allow(start) && !rate.allow(start));
        CPPUNIT_ASSERT(rate.allow(start + std::chrono::milliseconds{500}));
        rate.charge(2.0, start + std::chrono::seconds{1});
        CPPUNIT_ASSERT(!rate.allow(start + std::chrono::milliseconds{1500}));
        CPPUNIT_ASSERT(rate.allow(start + std::chrono::seconds{2}));

        // At this rate no second call gets a token during the test, however slow the machine is.
        platform_standin slow{{.server = {}, .writes_per_second = 1.0, .reads_per_second = 1e-6}};
        CPPUNIT_ASSERT(slow.start());
        http_probe caller{slow.port()};
        CPPUNIT_ASSERT_EQUAL(429, caller.send("GET", "/v1/objects/x", "", {{"Laburnum-Daemon", "d"}}).status);
        const nlohmann::json stats = caller.get_json("/control/stats");
        CPPUNIT_ASSERT_EQUAL(1, stats["daemons"]["d"]["read"]["rejected"].get<int>());
        slow.stop();
    }

    void second_bind_fails()
    {
        platform_standin second{{.server = {.listen = {.port = this->platform->port()}, .control_port = {}}}};
        CPPUNIT_ASSERT(!second.start());
    }

private:
    static std::string watch_path(int after, int timeout_ms)
    {
        return "/v1/objects/x?watch=1&after=" + std::to_string(after) +
               "&timeout_ms=" + std::to_string(timeout_ms);
    }

    int create(const std::string& name, const std::string& value)
    {
        const auto response =
            this->probe->send("PUT", "/v1/objects/" + name, value, {{"If-None-Match", "*"}});
        CPPUNIT_ASSERT_EQUAL(200, response.status);
        return nlohmann::json::parse(response.body)["version"].get<int>();
    }

    void set_faults(const std::string& list)
    {
        const auto response = this->control->send("POST", "/control/faults", "{\"faults\":[" + list + "]}");
        CPPUNIT_ASSERT_EQUAL(204, response.status);
    }

    std::optional<platform_standin> platform;
    std::optional<http_probe> probe;
    std::optional<http_probe> control;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_standin_test);

} // namespace laburnumreach::standin
