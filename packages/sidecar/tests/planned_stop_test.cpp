#include "fake_upstream.hpp"
#include "plain_client.hpp"
#include "running_daemon.hpp"
#include "test_bindings.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <vector>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

namespace
{

/// Bindings whose configurations have a customer, and a route without a key for service "s". Only requests
/// without a key can be nested calls.
platform_bindings bindings_with_open_route()
{
    platform_bindings bindings = test_bindings();
    bindings.decode_config =
        [](const std::string& document) -> core::result<std::shared_ptr<const routing_config>>
    {
        routing_config::contents parts{.version = std::stoull(document)};
        parts.hosts.push_back({.host = "h",
                               .routes = {{.name = "open",
                                           .path_prefix = "/",
                                           .open = true,
                                           .timeout = 20s,
                                           .latency_objective = 1s,
                                           .destinations = {{.service = "s"}}}}});
        parts.customers.push_back({.owner = {.name = "c"}, .keys = {"key"}});
        parts.health_paths["s"] = "/health";
        return std::make_shared<const routing_config>(std::move(parts));
    };
    return bindings;
}

} // namespace

/// Guards against requests that a stopping daemon takes on and then cuts off without a response.
class planned_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(short_request_is_served_after_the_signal);
    CPPUNIT_TEST(request_that_is_likely_to_outlast_the_grace_time_is_refused);
    CPPUNIT_TEST(late_request_on_a_kept_connection_is_not_passed_on);
    CPPUNIT_TEST(request_that_outlasts_the_grace_time_gets_a_response);
    CPPUNIT_TEST(requests_without_a_key_are_served_or_refused_until_the_end);
    CPPUNIT_TEST(nested_call_of_an_open_run_is_served);
    CPPUNIT_TEST(nested_call_that_cannot_end_in_time_is_not_passed_on);
    CPPUNIT_TEST(nested_call_with_a_deadline_before_the_end_is_passed_on);
    CPPUNIT_TEST(request_after_the_last_call_was_ended_is_refused);
    CPPUNIT_TEST(late_order_of_a_caller_beside_a_run_is_not_passed_on);
    CPPUNIT_TEST(order_of_a_caller_that_is_likely_to_outlast_a_stop_is_refused_beside_a_run);
    CPPUNIT_TEST(nested_call_that_ends_with_its_run_is_served);
    CPPUNIT_TEST(nested_call_without_customers_is_served);
    CPPUNIT_TEST(late_nested_call_is_given_no_more_time_than_the_daemon_has);
    CPPUNIT_TEST(request_is_given_no_more_time_than_the_daemon_has);
    CPPUNIT_TEST(connection_that_is_new_or_kept_is_open_for_a_late_nested_call);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->upstream.emplace(
            config::endpoint{.address = "127.199.7." + std::to_string(address), .port = 7401});
        this->daemon.emplace(running_daemon::options{
            .id = "stopping", .address = address, .bindings = test_bindings(), .stop_grace = 5000ms});
        this->runs_before = 0;
        this->daemon->put_config(1, "1");
        CPPUNIT_ASSERT(this->daemon->waits_for("event=instance_changed instance=i-1"));
    }

    void tearDown() override
    {
        this->caller.reset();
        this->other_upstream.reset();
        this->other.reset();
        this->daemon.reset();
        this->upstream.reset();
    }

    void short_request_is_served_after_the_signal()
    {
        plain_client client{this->daemon->settings().outbound};
        this->begin_stop();
        send(client, 100ms, 1);
        CPPUNIT_ASSERT_EQUAL(200, client.read_status());
    }

    void request_that_is_likely_to_outlast_the_grace_time_is_refused()
    {
        plain_client client{this->daemon->settings().outbound};
        this->make_runs_known_as(2s);
        this->begin_stop();
        send(client, 2s, 1);
        CPPUNIT_ASSERT_EQUAL(503, client.read_status());
        CPPUNIT_ASSERT_EQUAL(this->runs_before, this->upstream->requests.load());
    }

    void late_request_on_a_kept_connection_is_not_passed_on()
    {
        plain_client client{this->daemon->settings().outbound};
        send(client, 3200ms, 1); // Keeps the daemon from ending.
        this->begin_stop();
        std::this_thread::sleep_for(2600ms);
        send(client, 0ms, 2);
        CPPUNIT_ASSERT_EQUAL(200, client.read_status());
        const int second = client.read_status();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(second), second == 503 || second == 0);
        CPPUNIT_ASSERT_EQUAL(1, this->upstream->requests.load());
    }

    void request_that_outlasts_the_grace_time_gets_a_response()
    {
        plain_client client{this->daemon->settings().outbound};
        send(client, 15s, 1);
        while (this->upstream->requests == 0)
        {
            std::this_thread::sleep_for(10ms);
        }
        this->begin_stop();
        CPPUNIT_ASSERT_EQUAL(502, client.read_status());
        CPPUNIT_ASSERT(this->daemon->waits_for("event=stop_cut_short entry_calls=1"));
    }

    /// Requests of callers on an open route were taken for nested calls, passed on to another daemon until
    /// the end, and then cut off while its instance ran them.
    void requests_without_a_key_are_served_or_refused_until_the_end()
    {
        this->restart_with_open_route();
        this->start_other_daemon();
        this->begin_stop();
        std::atomic<int> served{0};
        constexpr int caller_count = 4;
        std::vector<std::thread> callers;
        callers.reserve(caller_count);
        for (int number = 0; number < caller_count; ++number)
        {
            callers.emplace_back([&, number] { served += this->served_while_stopping(number); });
        }
        this->daemon->wait_for_end();
        this->daemon.reset(); // Closes the connections, as the end of the process does.
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        CPPUNIT_ASSERT_EQUAL(this->upstream->requests + this->other_upstream->requests, served.load());
    }

    void nested_call_of_an_open_run_is_served()
    {
        this->start_run_beside_other_daemon(4000ms);
        this->begin_stop();
        std::this_thread::sleep_for(2700ms);
        plain_client instance{this->daemon->settings().outbound};
        send(instance, 100ms, 2);
        CPPUNIT_ASSERT_EQUAL(200, instance.read_status());
        CPPUNIT_ASSERT_EQUAL(200, this->caller->read_status());
    }

    void nested_call_that_cannot_end_in_time_is_not_passed_on()
    {
        this->start_run_beside_other_daemon(15s);
        this->make_responses_known_as(1500ms);
        this->begin_stop();
        std::this_thread::sleep_for(3600ms);
        const int runs = this->upstream->requests + this->other_upstream->requests;
        plain_client instance{this->daemon->settings().outbound};
        send(instance, 1500ms, 2);
        CPPUNIT_ASSERT_EQUAL(503, instance.read_status());
        CPPUNIT_ASSERT_EQUAL(runs, this->upstream->requests + this->other_upstream->requests);
    }

    /// A call that ends at its deadline is not cut off by the end of the daemon.
    void nested_call_with_a_deadline_before_the_end_is_passed_on()
    {
        this->start_run_beside_other_daemon(15s);
        this->make_responses_known_as(1500ms);
        this->begin_stop();
        std::this_thread::sleep_for(2700ms);
        plain_client instance{this->daemon->settings().outbound};
        instance.request("POST", "/100", "X-Attempt: a-2\r\nX-Deadline: 500\r\n");
        CPPUNIT_ASSERT_EQUAL(200, instance.read_status());
    }

    void request_after_the_last_call_was_ended_is_refused()
    {
        this->restart_with_open_route();
        plain_client caller{this->daemon->settings().outbound};
        plain_client late{this->daemon->settings().outbound};
        send(caller, 15s, 1);
        this->wait_for_runs(1);
        this->begin_stop();
        CPPUNIT_ASSERT_EQUAL(502, caller.read_status());
        const int runs = this->upstream->requests;
        send(late, 0ms, 2);
        const int status = late.read_status();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status == 503 || status == 0);
        CPPUNIT_ASSERT_EQUAL(runs, this->upstream->requests.load());
    }

    /// Review case 11: orders of an open route were passed on while the instance ran anything, if their usual
    /// time fitted. Those that took longer were broken off at the end while their instances ran them.
    void late_order_of_a_caller_beside_a_run_is_not_passed_on()
    {
        this->start_run_beside_other_daemon(15s, deadline_field(9000ms));
        this->make_responses_known_as(50ms);
        this->begin_stop();
        std::this_thread::sleep_for(2700ms);
        const int runs = this->upstream->requests + this->other_upstream->requests;
        plain_client order{this->daemon->settings().outbound};
        send(order, 2000ms, 2, deadline_field(15s));
        CPPUNIT_ASSERT_EQUAL(503, order.read_status());
        CPPUNIT_ASSERT_EQUAL(runs, this->upstream->requests + this->other_upstream->requests);
    }

    /// The same in the first part of a stop, where such orders were passed on whatever their usual time was.
    void order_of_a_caller_that_is_likely_to_outlast_a_stop_is_refused_beside_a_run()
    {
        this->start_run_beside_other_daemon(15s, deadline_field(9000ms));
        this->make_responses_known_as(1500ms);
        this->begin_stop();
        const int runs = this->upstream->requests + this->other_upstream->requests;
        plain_client order{this->daemon->settings().outbound};
        send(order, 5000ms, 2, deadline_field(15s));
        CPPUNIT_ASSERT_EQUAL(503, order.read_status());
        CPPUNIT_ASSERT_EQUAL(runs, this->upstream->requests + this->other_upstream->requests);
    }

    /// The other side of the refusals: calls that running work makes are answered.
    void nested_call_that_ends_with_its_run_is_served()
    {
        constexpr core::duration own_time = 2500ms;
        this->start_run_beside_other_daemon(4000ms, deadline_field(9000ms));
        this->begin_stop();
        for (int number = 2; number < 8; ++number)
        {
            plain_client instance{this->daemon->settings().outbound};
            const core::duration left = this->left_of_run(9000ms);
            // Some upstreams give all calls of a route the same time.
            send(instance, 50ms, number, deadline_field(number % 2 == 0 ? left : std::min(left, own_time)));
            CPPUNIT_ASSERT_EQUAL(200, instance.read_status());
            std::this_thread::sleep_for(500ms);
        }
    }

    /// In a deployment without customers no route is open; nested calls were refused like those of callers.
    void nested_call_without_customers_is_served()
    {
        plain_client client{this->daemon->settings().outbound};
        this->run_begin = core::boot_clock::now();
        send(client, 3800ms, 1, deadline_field(9000ms));
        this->wait_for_runs(1);
        this->other.emplace(
            running_daemon::options{.id = "other", .address = other_address, .bindings = test_bindings()});
        this->other_upstream.emplace(upstream_address(other_address));
        this->other->put_config(1, "1");
        CPPUNIT_ASSERT(this->other->waits_for("event=instance_changed instance=i-1"));
        this->daemon->connect_to(*this->other);
        this->begin_stop();
        std::this_thread::sleep_for(2700ms);
        plain_client instance{this->daemon->settings().outbound};
        send(instance, 50ms, 2, deadline_field(this->left_of_run(9000ms)));
        CPPUNIT_ASSERT_EQUAL(200, instance.read_status());
        plain_client late{this->daemon->settings().outbound};
        send(late, 50ms, 3, deadline_field(15s));
        CPPUNIT_ASSERT_EQUAL(503, late.read_status());
    }

    /// Its run may take longer than usual. Then the instance ends it, and no answer of it is cut off.
    void late_nested_call_is_given_no_more_time_than_the_daemon_has()
    {
        this->start_run_beside_other_daemon(4000ms, deadline_field(9000ms));
        this->begin_stop();
        std::this_thread::sleep_for(2700ms);
        plain_client instance{this->daemon->settings().outbound};
        send(instance, 50ms, 2, deadline_field(this->left_of_run(9000ms)));
        CPPUNIT_ASSERT_EQUAL(200, instance.read_status());
        const int given_ms = this->other_upstream->last_deadline_ms;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(given_ms), given_ms > 0 && given_ms < 1400);
    }

    void request_is_given_no_more_time_than_the_daemon_has()
    {
        plain_client client{this->daemon->settings().outbound};
        this->begin_stop();
        send(client, 100ms, 1, deadline_field(15s));
        CPPUNIT_ASSERT_EQUAL(200, client.read_status());
        const int given_ms = this->upstream->last_deadline_ms;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(given_ms), given_ms > 0 && given_ms < 4100);
    }

    /// A connection that was accepted and whose request had not been read yet looked idle, and was closed.
    void connection_that_is_new_or_kept_is_open_for_a_late_nested_call()
    {
        this->start_run_beside_other_daemon(4000ms, deadline_field(9000ms));
        plain_client kept{this->daemon->settings().outbound};
        send(kept, 50ms, 2, deadline_field(this->left_of_run(9000ms)));
        CPPUNIT_ASSERT_EQUAL(200, kept.read_status());
        this->begin_stop();
        std::this_thread::sleep_for(2700ms);
        plain_client fresh{this->daemon->settings().outbound};
        std::this_thread::sleep_for(100ms);
        send(kept, 50ms, 3, deadline_field(this->left_of_run(9000ms)));
        send(fresh, 50ms, 4, deadline_field(this->left_of_run(9000ms)));
        CPPUNIT_ASSERT_EQUAL(200, kept.read_status());
        CPPUNIT_ASSERT_EQUAL(200, fresh.read_status());
    }

private:
    static constexpr unsigned address = 5;
    static constexpr unsigned other_address = 6;

    static config::endpoint upstream_address(unsigned last_number)
    {
        return {.address = "127.199.7." + std::to_string(last_number), .port = 7401};
    }

    static config::endpoint entry()
    {
        return {.address = "127.199.7." + std::to_string(address), .port = 7402};
    }

    void restart_with_open_route()
    {
        this->daemon.reset();
        this->daemon.emplace(running_daemon::options{.id = "stopping",
                                                     .address = address,
                                                     .bindings = bindings_with_open_route(),
                                                     .stop_grace = 5000ms});
        this->daemon->put_config(1, "1");
        CPPUNIT_ASSERT(this->daemon->waits_for("event=instance_changed instance=i-1"));
    }

    /// Starts a daemon with an instance of its own, and connects the two.
    void start_other_daemon()
    {
        this->other.emplace(running_daemon::options{
            .id = "other", .address = other_address, .bindings = bindings_with_open_route()});
        this->other_upstream.emplace(upstream_address(other_address));
        this->other->put_config(1, "1");
        CPPUNIT_ASSERT(this->other->waits_for("event=instance_changed instance=i-1"));
        this->daemon->connect_to(*this->other);
    }

    /// Starts a run on the instance beside the daemon, and then another daemon for its nested calls.
    /// @param fields further header fields of its request
    void start_run_beside_other_daemon(std::chrono::milliseconds run_time, const std::string& fields = {})
    {
        this->restart_with_open_route();
        this->caller.emplace(this->daemon->settings().outbound);
        this->run_begin = core::boot_clock::now();
        send(*this->caller, run_time, 1, fields);
        this->wait_for_runs(1); // On this instance, since no other one is known yet.
        this->start_other_daemon();
    }

    void wait_for_runs(int count)
    {
        while (this->upstream->requests < count)
        {
            std::this_thread::sleep_for(10ms);
        }
    }

    void make_responses_known_as(std::chrono::milliseconds run_time)
    {
        plain_client client{this->daemon->settings().outbound};
        send(client, run_time, 0);
        CPPUNIT_ASSERT_EQUAL(200, client.read_status());
    }

    /// Sends one request after the other until the daemon has ended.
    /// @returns the number of requests that got the response of an instance
    int served_while_stopping(int number)
    {
        constexpr std::chrono::milliseconds run_time = 400ms;
        int served = 0;
        try
        {
            for (;;)
            {
                plain_client client{entry()};
                send(client, run_time, number);
                const int status = client.read_status();
                served += status == 200 ? 1 : 0;
                if (status == 503)
                {
                    std::this_thread::sleep_for(20ms);
                }
            }
        }
        catch (const boost::system::system_error&)
        {
            return served; // The daemon has ended.
        }
    }

    static void send(plain_client& client, std::chrono::milliseconds run_time, int number,
                     const std::string& fields = {})
    {
        client.request("POST", "/" + std::to_string(run_time.count()),
                       "X-Attempt: a-" + std::to_string(number) + "\r\n" + fields);
    }

    static std::string deadline_field(core::duration time)
    {
        return "X-Deadline: " +
               std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + "\r\n";
    }

    /// Returns the time until the deadline of the run that the test has started, as its instance would.
    core::duration left_of_run(core::duration deadline) const
    {
        return deadline - (core::boot_clock::now() - this->run_begin);
    }

    /// Sends requests until the mean run time is close to the one given.
    void make_runs_known_as(std::chrono::milliseconds run_time)
    {
        constexpr int callers = 60;
        std::vector<std::unique_ptr<plain_client>> clients;
        for (int number = 0; number < callers; ++number)
        {
            clients.push_back(std::make_unique<plain_client>(this->daemon->settings().outbound));
            send(*clients.back(), run_time, number);
        }
        for (const auto& client : clients)
        {
            CPPUNIT_ASSERT_EQUAL(200, client->read_status());
        }
        this->runs_before = this->upstream->requests;
    }

    void begin_stop()
    {
        this->daemon->begin_stop();
        CPPUNIT_ASSERT(this->daemon->waits_for("event=stopping"));
    }

    std::optional<fake_upstream> upstream;
    std::optional<running_daemon> daemon;
    std::optional<fake_upstream> other_upstream; ///< Set in tests with a second daemon.
    std::optional<running_daemon> other;
    std::optional<plain_client> caller; ///< Its request runs on the instance beside the daemon.
    core::time_point run_begin{};
    int runs_before = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace laburnumreach::sidecar
