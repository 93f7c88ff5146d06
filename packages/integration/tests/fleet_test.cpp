#include "test_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <sys/resource.h>

namespace laburnumreach::integration
{

namespace
{

constexpr std::size_t front = 0;
constexpr std::size_t back = 1;

std::string reason_of(const http::response& answer)
{
    return std::string{http::find_header(answer.headers, "Laburnum-Reason")};
}

std::string verdict_of(const http::response& answer)
{
    return std::string{http::find_header(answer.headers, "Laburnum-Verdict")};
}

/// Sums over the tenants that used the key.
std::uint64_t starts_of(const nlohmann::json& record, const std::string& idempotency_key)
{
    std::uint64_t starts = 0;
    for (const nlohmann::json& row : record.at("idempotency_keys"))
    {
        if (row.at("key") == idempotency_key)
        {
            starts += row.at("started").get<std::uint64_t>();
        }
    }
    return starts;
}

std::uint64_t received_total(const nlohmann::json& record)
{
    std::uint64_t total = 0;
    for (const nlohmann::json& row : record.at("requests"))
    {
        total += row.at("received").get<std::uint64_t>();
    }
    return total;
}

} // namespace

class fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_test);
    CPPUNIT_TEST(wrong_requests_are_refused_with_reason_and_counter);
    CPPUNIT_TEST(keys_never_reach_an_upstream);
    CPPUNIT_TEST(idle_connections_keep_no_caller_out);
    CPPUNIT_TEST(contexts_cannot_be_forged);
    CPPUNIT_TEST(duplicates_run_once_on_any_daemon);
    CPPUNIT_TEST(withdrawn_key_cancels_a_running_request);
    CPPUNIT_TEST(platform_outage_keeps_certainty);
    CPPUNIT_TEST(shutdown_cuts_no_request);
    CPPUNIT_TEST(drained_instance_gets_no_new_work);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals without a reason, without a counter, or that stop the daemon from serving.
    void wrong_requests_are_refused_with_reason_and_counter()
    {
        test_fleet fleet;
        struct fault_case
        {
            std::string_view method;
            std::string target;
            http::headers headers;
            std::string body;
            int status;
            std::string reason;
        };
        const http::headers key{{"X-Api-Key", serra_key}};
        const fault_case cases[] = {
            {"GET", "/front/pages/1", {}, "", 401, "key_missing"},
            {"GET", "/front/pages/1", {{"X-Api-Key", "unknown"}}, "", 401, "key_unknown"},
            {"GET",
             "/front/pages/1",
             {{"X-Api-Key", "a"}, {"Authorization", "Bearer b"}},
             "",
             400,
             "ambiguous_key"},
            {"GET", "/nowhere/x", key, "", 404, "route_unknown"},
            {"GET", "/front/pages/../x", key, "", 400, "bad_request"},
            {"DELETE", "/front/pages/1", key, "", 404, "route_unknown"},
            {"POST", "/back/order", key, "x", 400, "idempotency_key_missing"},
            {"POST",
             "/back/order",
             {{"X-Api-Key", serra_key}, {"Idempotency-Key", "k1"}},
             serra_key,
             400,
             "key_in_body"},
            {"GET", "/front/pages/" + serra_key, key, "", 400, "key_in_body"},
            {"POST",
             "/back/order",
             {{"X-Api-Key", serra_key}, {"Idempotency-Key", "k2"}},
             std::string(2 * 1024 * 1024, 'x'),
             413,
             "body_too_large"}};
        for (const fault_case& one : cases)
        {
            const http::response answer = fleet.send(0, one.method, one.target, one.headers, one.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(one.reason, one.status, answer.status);
            CPPUNIT_ASSERT_EQUAL(one.reason, reason_of(answer));
            CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, verdict_of(answer));
            const std::string metrics = fleet.admin(0, "/metrics");
            const std::string counter = "laburnumreach_refusals_total{reason=\"" + one.reason + "\"} 0";
            CPPUNIT_ASSERT_MESSAGE(counter, metrics.find(counter + "\n") == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(200, fleet.get(0, "/front/pages/1", serra_key).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, starts_of(fleet.record(back), "k1"));
    }

    void keys_never_reach_an_upstream()
    {
        test_fleet fleet;
        const http::headers headers{{"Authorization", "Bearer " + serra_key},
                                    {"Cookie", "session=" + serra_key},
                                    {"X-Copy", serra_key},
                                    {"Laburnum-Tenant", "marta"}};
        const http::response answer =
            fleet.send(1, "GET", "/front/pages/1?api_key=" + serra_key + "&x=1", headers);
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        for (const std::size_t upstream : {front, back})
        {
            const nlohmann::json record = fleet.record(upstream);
            CPPUNIT_ASSERT(record.at("forbidden").empty());
            CPPUNIT_ASSERT(received_total(record) > 0);
        }
    }

    /// Guards against a server that gives each open connection a thread: a further caller would wait for
    /// ever.
    void idle_connections_keep_no_caller_out()
    {
        constexpr std::size_t connection_count = 1700;
        rlimit files{};
        CPPUNIT_ASSERT(::getrlimit(RLIMIT_NOFILE, &files) == 0);
        files.rlim_cur = files.rlim_max;
        CPPUNIT_ASSERT(::setrlimit(RLIMIT_NOFILE, &files) == 0);
        test_fleet fleet;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(fleet.settings[0].listen.callers);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        std::vector<int> descriptors;
        for (std::size_t count = 0; count < connection_count; ++count)
        {
            descriptors.push_back(::socket(AF_INET, SOCK_STREAM, 0));
            CPPUNIT_ASSERT(
                ::connect(descriptors.back(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        }
        wait_until("all connections are open",
                   [&]
                   {
                       const std::string metrics = fleet.admin(0, "/metrics");
                       const std::string name = "laburnumreach_open_connections{listener=\"callers\"} ";
                       return std::stoul(metrics.substr(metrics.find(name) + name.size())) >=
                              connection_count;
                   });
        CPPUNIT_ASSERT_EQUAL(200, fleet.get(0, "/front/pages/1", serra_key).status);
        for (const int descriptor : descriptors)
        {
            ::close(descriptor);
        }
    }

    /// Guards against callers and upstreams that invent a call context, and against foreign peers.
    void contexts_cannot_be_forged()
    {
        test_fleet fleet;
        const http::headers forged{{"Laburnum-Call", "00000000000000000000000000000000"}};
        const auto local = fleet.exchange(fleet.settings[0].listen.local, "GET", "/back/read", forged).answer;
        CPPUNIT_ASSERT_EQUAL(std::string{"handle_invalid"}, reason_of(local));
        const http::headers envelope{{"Laburnum-Envelope", "AAAA"}};
        const auto peer = fleet.exchange(fleet.settings[1].listen.peers, "GET", "/read", envelope).answer;
        CPPUNIT_ASSERT_EQUAL(std::string{"peer_unauthenticated"}, reason_of(peer));
    }

    void duplicates_run_once_on_any_daemon()
    {
        test_fleet fleet;
        const http::headers headers{{"X-Api-Key", serra_key}, {"Idempotency-Key", "order-1"}};
        std::vector<std::future<http::response>> answers;
        for (std::size_t copy = 0; copy < 6; ++copy)
        {
            answers.push_back(
                std::async(std::launch::async, [&fleet, &headers, copy]
                           { return fleet.send(copy % 2, "POST", "/back/order", headers, "x"); }));
        }
        std::string whole;
        for (auto& answer : answers)
        {
            const http::response one = answer.get();
            CPPUNIT_ASSERT(one.status == 200 || one.status == 409);
            whole = one.status == 200 ? one.body : whole;
        }
        CPPUNIT_ASSERT(!whole.empty());
        for (const std::size_t daemon : {0U, 1U})
        {
            wait_until("the recorded answer is served",
                       [&]
                       {
                           const http::response again =
                               fleet.send(daemon, "POST", "/back/order", headers, "x");
                           return again.status == 200 && again.body == whole;
                       });
        }
        // The key of one tenant says nothing about the request of another.
        const http::headers other{{"X-Api-Key", marta_key}, {"Idempotency-Key", "order-1"}};
        CPPUNIT_ASSERT_EQUAL(200, fleet.send(0, "POST", "/back/order", other, "x").status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, starts_of(fleet.record(back), "order-1"));
    }

    void withdrawn_key_cancels_a_running_request()
    {
        test_fleet fleet;
        fleet.set_upstream_faults(back, R"({"slow_factor":1000})");
        auto running = std::async(std::launch::async, [&] { return fleet.get(0, "/back/read", serra_key); });
        wait_until("the request runs", [&] { return received_total(fleet.record(back)) > 2; });
        fleet.apply(test_fleet::configuration(false));
        const http::response answer = running.get();
        CPPUNIT_ASSERT_EQUAL(std::string{"key_withdrawn"}, reason_of(answer));
        CPPUNIT_ASSERT_EQUAL(std::string{"may_have_run"}, verdict_of(answer));
        for (const std::size_t daemon : {0U, 1U})
        {
            wait_until(
                "the key is refused",
                [&] { return reason_of(fleet.get(daemon, "/front/pages/1", serra_key)) == "key_unknown"; });
        }
    }

    /// Guards against a non-idempotent run without a claim, and against an outage that stops other traffic.
    void platform_outage_keeps_certainty()
    {
        test_fleet fleet;
        fleet.set_platform_faults(R"({"faults":[{"kind":"outage"}]})");
        const http::headers headers{{"X-Api-Key", serra_key}, {"Idempotency-Key", "order-2"}};
        const http::response refused = fleet.send(0, "POST", "/back/order", headers, "x");
        CPPUNIT_ASSERT_EQUAL(std::string{"claim_store_unavailable"}, reason_of(refused));
        CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, verdict_of(refused));
        CPPUNIT_ASSERT_EQUAL(200, fleet.get(0, "/front/pages/1", serra_key).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, starts_of(fleet.record(back), "order-2"));
        fleet.set_platform_faults(R"({"faults":[]})");
        wait_until("orders run again",
                   [&] { return fleet.send(0, "POST", "/back/order", headers, "x").status == 200; });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, starts_of(fleet.record(back), "order-2"));
    }

    void shutdown_cuts_no_request()
    {
        test_fleet fleet;
        fleet.set_upstream_faults(back, R"({"slow_factor":100})");
        std::vector<std::future<http::response>> running;
        for (std::size_t count = 0; count < 5; ++count)
        {
            running.push_back(
                std::async(std::launch::async, [&] { return fleet.get(0, "/back/read", serra_key); }));
        }
        wait_until("the requests run", [&] { return received_total(fleet.record(back)) > 6; });
        CPPUNIT_ASSERT(fleet.daemons[0]->shut_down());
        for (auto& answer : running)
        {
            CPPUNIT_ASSERT_EQUAL(200, answer.get().status);
        }
    }

    void drained_instance_gets_no_new_work()
    {
        test_fleet fleet;
        const std::string text = test_fleet::configuration(true);
        fleet.apply("drained_instances = [\"back-1\"]\n" + text);
        for (const std::size_t daemon : {0U, 1U})
        {
            wait_until("the instance is out",
                       [&] { return verdict_of(fleet.get(daemon, "/back/read", serra_key)) == "not_run"; });
        }
        const std::uint64_t before = received_total(fleet.record(back));
        fleet.get(0, "/back/read", serra_key);
        fleet.get(1, "/back/read", serra_key);
        CPPUNIT_ASSERT_EQUAL(before, received_total(fleet.record(back)));
        fleet.apply(text);
        wait_until("the instance is back",
                   [&] { return fleet.get(0, "/back/read", serra_key).status == 200; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_test);

} // namespace laburnumreach::integration
