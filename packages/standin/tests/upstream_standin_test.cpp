#include "laburnumreach/standin/upstream_standin.hpp"

#include "http_probe.hpp"
#include "laburnumreach/standin/checked_answer.hpp"
#include "raw_caller.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace laburnumreach::standin
{

/// Guards against an upstream whose record or damaged answers differ from what tests of the daemon rely on.
class upstream_standin_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_standin_test);
    CPPUNIT_TEST(record_counts_each_start);
    CPPUNIT_TEST(damaged_answers_are_not_whole);
    CPPUNIT_TEST(silent_connections);
    CPPUNIT_TEST(closed_callers_cancel_running_and_waiting_requests);
    CPPUNIT_TEST(forbidden_texts_are_found);
    CPPUNIT_TEST(announcement);
    CPPUNIT_TEST(dependencies_pass_on_the_verdict);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->start({.other_service_time = core::duration::zero()}); }

    void tearDown() override
    {
        this->upstream->stop();
        if (this->daemon)
        {
            this->daemon->stop_serving();
            this->daemon.reset();
        }
    }

    void record_counts_each_start()
    {
        const httplib::Headers headers{{"Laburnum-Request-Id", "r1"},
                                       {"Idempotency-Key", "k1"},
                                       {"Test-Nonce", "n1"},
                                       {"Laburnum-Tenant", "serra"}};
        for (int count = 0; count < 2; ++count)
        {
            const auto response = this->probe->send("POST", "/new?answer_bytes=5000", "body", headers);
            CPPUNIT_ASSERT(is_whole_answer(response.body, "n1", "body"));
            CPPUNIT_ASSERT(!is_whole_answer(response.body, "n2", "body"));
            CPPUNIT_ASSERT(!is_whole_answer(response.body, "n1", "bodz"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{5000}, response.body.size());
        }
        for (const auto& [list, name, value] :
             {std::tuple{"requests", "request_id", "r1"}, std::tuple{"idempotency_keys", "key", "k1"},
              std::tuple{"nonces", "nonce", "n1"}})
        {
            const nlohmann::json rows = this->probe->get_json("/control/record")[list];
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rows.size());
            CPPUNIT_ASSERT_EQUAL(std::string{value}, rows[0][name].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(std::string{"serra"}, rows[0]["tenant"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(2, rows[0]["started"].get<int>());
            CPPUNIT_ASSERT_EQUAL(2, rows[0]["finished"].get<int>());
        }
        this->probe->send("POST", "/control/reset");
        CPPUNIT_ASSERT(this->probe->get_json("/control/record")["nonces"].empty());
    }

    void damaged_answers_are_not_whole()
    {
        using failure = local_client::failure;
        struct damage_case
        {
            std::string faults;
            failure ended;
            bool whole;
        };
        const std::vector<damage_case> cases{
            {R"({"cut_answers":{"count":1}})", failure::broken, false},
            {R"({"wrong_length":{"count":1,"delta":-8}})", failure::excess_bytes, false},
            {R"({"no_length":{"count":1}})", failure::none, true},
            {R"({"slow_writer":100000})", failure::none, true},
            {R"({"slow_reader":100000})", failure::none, true},
            {R"({"slow_factor":2.0})", failure::none, true},
        };
        for (const damage_case& each : cases)
        {
            this->control("/control/faults", each.faults);
            const auto response = this->probe->send("POST", "/p", "body", {{"Test-Nonce", "n1"}});
            CPPUNIT_ASSERT_MESSAGE(each.faults, this->probe->failure() == each.ended);
            const bool whole = each.ended == failure::none && is_whole_answer(response.body, "n1", "body");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.faults, each.whole, whole);
            this->probe->send("GET", "/p", "", {{"Test-Nonce", "n2"}});
            CPPUNIT_ASSERT_MESSAGE(each.faults, this->probe->failure() == failure::none);
        }
        CPPUNIT_ASSERT_EQUAL(400, this->probe->send("POST", "/control/faults", "{\"silent\":1}").status);
    }

    void silent_connections()
    {
        const raw_caller old{this->upstream->port()};
        old.send("before");
        old.wait_for_answer();
        this->control("/control/faults", R"({"silent":"open"})");
        old.send("silent");
        http_probe fresh{this->upstream->port()};
        CPPUNIT_ASSERT_EQUAL(200, fresh.send("GET", "/p", "", {{"Test-Nonce", "fresh"}}).status);
        this->wait_for_nonce("silent", "received");
        CPPUNIT_ASSERT_EQUAL(0, this->nonce_count("silent", "started"));
    }

    void closed_callers_cancel_running_and_waiting_requests()
    {
        this->upstream->stop();
        this->start({.slots = 1, .other_service_time = std::chrono::hours{1}});
        std::optional<raw_caller> running{std::in_place, this->upstream->port()};
        std::optional<raw_caller> waiting{std::in_place, this->upstream->port()};
        running->send("running");
        this->wait_for_nonce("running", "started");
        waiting->send("waiting");
        this->wait_for_nonce("waiting", "received");
        waiting.reset();
        running.reset();
        this->wait_for_nonce("running", "cancelled");
        this->wait_for_nonce("waiting", "cancelled");
        CPPUNIT_ASSERT_EQUAL(0, this->nonce_count("running", "finished"));
        CPPUNIT_ASSERT_EQUAL(0, this->nonce_count("waiting", "finished"));
        CPPUNIT_ASSERT_EQUAL(0, this->probe->get_json("/control/record")["slots"]["busy"].get<int>());
    }

    void forbidden_texts_are_found()
    {
        this->control("/control/forbidden", R"(["sekret"])");
        this->probe->send("GET", "/clean", "", {{"X-Other", "secret"}});
        CPPUNIT_ASSERT(this->probe->get_json("/control/record")["forbidden"].empty());
        this->probe->send("GET", "/h", "", {{"Cookie", "a=sekret"}});
        this->probe->send("GET", "/t?k=se%6bret");
        this->probe->send("POST", "/b", "..sekret..");
        std::string places;
        const nlohmann::json record = this->probe->get_json("/control/record");
        for (const nlohmann::json& found : record["forbidden"])
        {
            places += found["where"].get<std::string>() + ";";
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"header Cookie;parameter k;body;"}, places);
    }

    void announcement()
    {
        this->start_with_daemon({});
        this->control("/control/faults", R"({"lie_load":0.25})");
        this->control("/control/drain", R"({"draining":true})");
        nlohmann::json last = nlohmann::json::object();
        while (last.value("state", "") != "draining" || last.value("load", 0.0) != 0.25)
        {
            last = this->last_announcement();
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"stock"}, last["service"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(int{this->upstream->port()}, last["port"].get<int>());
        CPPUNIT_ASSERT_EQUAL(3, last["slots"].get<int>());
    }

    void dependencies_pass_on_the_verdict()
    {
        const auto rule = parse_dependency_rule("/orders/=items/ok,POST:items/refused");
        CPPUNIT_ASSERT(rule);
        this->start_with_daemon({*rule});
        const auto response =
            this->probe->send("GET", "/orders/1", "", {{"Laburnum-Call", "handle"}, {"Test-Nonce", "n"}});
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, response.get_header_value("Laburnum-Verdict"));
        CPPUNIT_ASSERT_EQUAL(std::string{"queue_full"}, response.get_header_value("Laburnum-Reason"));
        CPPUNIT_ASSERT_EQUAL(std::string{"7"}, response.get_header_value("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(1, this->nonce_count("n", "failed"));
        CPPUNIT_ASSERT_EQUAL(200, this->probe->send("GET", "/other").status);
    }

private:
    void start(const upstream_standin_options& options)
    {
        this->upstream = std::make_unique<upstream_standin>(options);
        CPPUNIT_ASSERT(this->upstream->start());
        this->probe = std::make_unique<http_probe>(this->upstream->port());
    }

    /// Starts the upstream with a daemon that answers /items/ok and refuses all other calls.
    void start_with_daemon(const std::vector<dependency_rule>& rules)
    {
        this->upstream->stop();
        this->daemon = std::make_unique<loopback_server>(
            loopback_server_options{},
            [this](const httplib::Request& request, const std::string& path, httplib::Response& response,
                   connection&)
            {
                const std::string nonce = request.get_header_value("Test-Nonce");
                if (path == "/laburnum/announce")
                {
                    const std::lock_guard lock{this->mutex};
                    this->announced = nlohmann::json::parse(request.body);
                }
                else if (path == "/items/ok" && request.get_header_value("Laburnum-Call") == "handle")
                {
                    response.set_content(write_answer({}, check_value(nonce, ""), 0), "application/json");
                }
                else
                {
                    response.status = 503;
                    response.headers = {{"Laburnum-Verdict", "not_run"},
                                        {"Laburnum-Reason", "queue_full"},
                                        {"Retry-After", "7"}};
                }
            });
        CPPUNIT_ASSERT(this->daemon->start());
        this->start({.daemon = loopback_address{.port = this->daemon->port()},
                     .service = "stock",
                     .slots = 3,
                     .other_service_time = core::duration::zero(),
                     .dependencies = rules,
                     .announce_interval = std::chrono::milliseconds{1}});
    }

    nlohmann::json last_announcement()
    {
        const std::lock_guard lock{this->mutex};
        return this->announced.is_object() ? this->announced : nlohmann::json::object();
    }

    void control(const std::string& path, const std::string& body)
    {
        CPPUNIT_ASSERT_EQUAL(204, this->probe->send("POST", path, body).status);
    }

    int nonce_count(const std::string& nonce, const std::string& member)
    {
        const nlohmann::json rows = this->probe->get_json("/control/record")["nonces"];
        for (const nlohmann::json& row : rows)
        {
            if (row["nonce"] == nonce)
            {
                return row[member].get<int>();
            }
        }
        return 0;
    }

    /// Waits without a bound of its own; the time limit of the test program ends a wait that fails.
    void wait_for_nonce(const std::string& nonce, const std::string& member)
    {
        while (this->nonce_count(nonce, member) == 0)
        {
            std::this_thread::yield();
        }
    }

    std::mutex mutex;
    nlohmann::json announced;
    std::unique_ptr<loopback_server> daemon;
    std::unique_ptr<upstream_standin> upstream;
    std::unique_ptr<http_probe> probe;
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_standin_test);

} // namespace laburnumreach::standin
