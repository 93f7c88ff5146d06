#include "fake_upstream.hpp"
#include "plain_client.hpp"
#include "running_daemon.hpp"
#include "test_bindings.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against requests that a stopping daemon takes on and then cuts off without a response.
class planned_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(short_request_is_served_after_the_signal);
    CPPUNIT_TEST(request_that_is_likely_to_outlast_the_grace_time_is_refused);
    CPPUNIT_TEST(late_request_on_a_kept_connection_is_not_passed_on);
    CPPUNIT_TEST(request_that_outlasts_the_grace_time_gets_a_response);
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

private:
    static constexpr unsigned address = 5;

    static void send(plain_client& client, std::chrono::milliseconds run_time, int number)
    {
        client.request("POST", "/" + std::to_string(run_time.count()),
                       "X-Attempt: a-" + std::to_string(number) + "\r\n");
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
    int runs_before = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace laburnumreach::sidecar
