#include "laburnumreach/standin/load_generator.hpp"

#include "laburnumreach/standin/load_report.hpp"
#include "laburnumreach/standin/upstream_records.hpp"
#include "laburnumreach/standin/upstream_standin.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>
#include <vector>

namespace laburnumreach::standin
{

/// Guards against load that differs from its scenario, or attempts that are lost from the count.
class load_generator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_generator_test);
    CPPUNIT_TEST(only_loopback_addresses);
    CPPUNIT_TEST(faulty_scenarios_are_refused);
    CPPUNIT_TEST(plan_follows_the_scenario);
    CPPUNIT_TEST(run_against_an_upstream);
    CPPUNIT_TEST(retries_end);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_loopback_addresses()
    {
        CPPUNIT_ASSERT(parse_loopback_address("127.0.0.1:80"));
        for (const char* const text : {"10.0.0.1:80", "0.0.0.0:80", "localhost:80", "127.0.0.1",
                                       "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ":80", ""})
        {
            CPPUNIT_ASSERT_MESSAGE(text, !parse_loopback_address(text));
        }
    }

    void faulty_scenarios_are_refused()
    {
        CPPUNIT_ASSERT(parse_load_scenario(scenario_text));
        for (const char* const line :
             {"rat = 5", "rate = \"x\"", "loop = \"round\"", "workers = 401", "daemons = [\"10.0.0.1:80\"]",
              "drain_ms = -1", "[[phase]]\nlength_ms = 5", "rate ="})
        {
            CPPUNIT_ASSERT_MESSAGE(line, !parse_load_scenario(std::string{line} + "\n" + scenario_text));
        }
        CPPUNIT_ASSERT(!parse_load_scenario(""));
    }

    void plan_follows_the_scenario()
    {
        load_scenario scenario = *parse_load_scenario(scenario_text);
        scenario.rate = 10'000.0;
        arrival_plan plan{scenario};
        arrival_plan same{scenario};
        std::map<std::pair<std::size_t, std::size_t>, double> counts;
        std::size_t duplicates = 0;
        core::duration last{0};
        while (const auto next = plan.next())
        {
            const auto again = same.next();
            CPPUNIT_ASSERT(again && again->at == next->at && again->tenant == next->tenant);
            CPPUNIT_ASSERT(next->at >= last);
            last = next->at;
            ++counts[{next->phase, next->tenant}];
            duplicates += next->duplicate_after ? 1 : 0;
            CPPUNIT_ASSERT(!next->duplicate_after || !scenario.kinds[next->kind].idempotent);
        }
        CPPUNIT_ASSERT(!same.next());
        CPPUNIT_ASSERT(duplicates > 0);
        // Phase 1 doubles the rate, and tenant 1 sends three times its share there. The seed is fixed.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, counts[std::pair(0, 0)], 100.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, counts[std::pair(0, 1)], 100.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, counts[std::pair(1, 0)], 150.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3000.0, counts[std::pair(1, 1)], 250.0);
    }

    void run_against_an_upstream()
    {
        for (const bool closed_loop : {false, true})
        {
            upstream_standin upstream{{.other_service_time = std::chrono::milliseconds{1}}};
            CPPUNIT_ASSERT(upstream.start());
            load_scenario scenario = *parse_load_scenario(scenario_text);
            scenario.closed_loop = closed_loop;
            scenario.callers = 2;
            scenario.daemons = {{.port = upstream.port()}};
            scenario.upstreams = scenario.daemons;
            CPPUNIT_ASSERT(reset_upstream_records(scenario));
            load_generator generator{scenario, "run"};
            const std::vector<load_attempt> attempts = generator.run();
            const auto records = read_upstream_records(scenario);
            const run_judgement judged = judge_run(scenario, attempts, records);
            std::size_t whole = 0;
            std::size_t duplicates = 0;
            for (const load_attempt& attempt : attempts)
            {
                whole += attempt.ended == load_attempt::ending::whole ? 1 : 0;
                duplicates += attempt.duplicate ? 1 : 0;
            }
            CPPUNIT_ASSERT(duplicates > 0);
            CPPUNIT_ASSERT_EQUAL(attempts.size(), whole);
            // Without a daemon each duplicate runs, and the keys arrive.
            CPPUNIT_ASSERT_EQUAL(duplicates, judged.duplicates_run);
            CPPUNIT_ASSERT(judged.keys_seen > 0);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, judged.records_missing);
            upstream.stop();
            CPPUNIT_ASSERT(!reset_upstream_records(scenario));
        }
    }

    void retries_end()
    {
        loopback_server daemon{
            {},
            [](const httplib::Request&, const std::string&, httplib::Response& response, connection&)
            {
                response.status = 503;
                response.set_header("Laburnum-Reason", "overloaded");
            }};
        CPPUNIT_ASSERT(daemon.start());
        load_scenario scenario = *parse_load_scenario(scenario_text);
        scenario.daemons = {{.port = daemon.port()}};
        scenario.retry = load_scenario::retry_mode::hard;
        scenario.most_retries = 2;
        scenario.most_requests = 5;
        scenario.duplicate_share = 0.0;
        load_generator generator{scenario, "run"};
        const std::vector<load_attempt> attempts = generator.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, attempts.size());
        for (const load_attempt& attempt : attempts)
        {
            CPPUNIT_ASSERT_EQUAL(std::string{"overloaded"}, attempt.reason);
        }
        daemon.stop_serving();
    }

private:
    static constexpr const char* scenario_text = R"(
rate = 400.0
duplicate_share = 0.5
duplicate_delay_ms = 10
workers = 50
drain_ms = 60000
[[phase]]
name = "first"
duration_ms = 100
[[phase]]
name = "second"
duration_ms = 100
multiplier = 2.0
[[tenant]]
name = "serra"
key = "key-of-serra"
[[tenant]]
name = "vale"
key = "key-of-vale"
place = "query"
[[tenant.surge]]
from_ms = 100
to_ms = 200
factor = 3.0
[[kind]]
name = "page"
service = "tally"
path = "/pages/1?answer_bytes=3000"
timeout_ms = 60000
[[kind]]
name = "order"
service = "orders"
method = "POST"
path = "/new"
priority = "critical"
body_bytes = 100
idempotent = false
timeout_ms = 60000
)";
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_generator_test);

} // namespace laburnumreach::standin
