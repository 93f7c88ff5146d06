#include "fake_upstream.hpp"
#include "plain_client.hpp"
#include "running_daemon.hpp"
#include "test_bindings.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against a restarted daemon that takes a late heartbeat for a new instance, and gives work to one
/// that leaves.
class restarted_daemon_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restarted_daemon_test);
    CPPUNIT_TEST(late_heartbeat_does_not_undo_a_deregistration);
    CPPUNIT_TEST(late_heartbeat_gives_no_work_to_an_instance_that_left_before_the_start);
    CPPUNIT_TEST(new_incarnation_gets_work);
    CPPUNIT_TEST(first_daemon_believes_the_heartbeat);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->upstream.emplace(
            config::endpoint{.address = "127.199.7." + std::to_string(address), .port = 7401});
    }

    void tearDown() override { this->upstream.reset(); }

    void late_heartbeat_does_not_undo_a_deregistration()
    {
        running_daemon daemon{options()};
        this->configure(daemon);
        CPPUNIT_ASSERT(daemon.waits_for("event=instance_changed instance=i-1"));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request(daemon));
        this->upstream->healthy = false;
        this->announce(daemon, "/leave/i-1");
        this->announce(daemon, heartbeat(5));
        std::this_thread::sleep_for(drain_time);
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request(daemon));
        CPPUNIT_ASSERT_EQUAL(1, this->upstream->requests.load());
    }

    void late_heartbeat_gives_no_work_to_an_instance_that_left_before_the_start()
    {
        running_daemon daemon{options()};
        this->upstream->healthy = false;
        this->configure(daemon);
        this->announce(daemon, heartbeat(5));
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request(daemon));
        CPPUNIT_ASSERT(this->upstream->health_checks > 0);
    }

    void new_incarnation_gets_work()
    {
        running_daemon daemon{options()};
        this->configure(daemon);
        CPPUNIT_ASSERT(daemon.waits_for("event=instance_changed instance=i-1"));
        this->upstream->healthy = false;
        this->announce(daemon, "/leave/i-1");
        this->announce(daemon, heartbeat(5));
        std::this_thread::sleep_for(drain_time);
        this->upstream->healthy = true;
        this->announce(daemon, heartbeat(1, 2000));
        CPPUNIT_ASSERT(daemon.waits_for("event=instance_changed instance=i-1 started_ms=2000"));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request(daemon));
    }

    void first_daemon_believes_the_heartbeat()
    {
        running_daemon::options first = options();
        first.first_start = true;
        running_daemon daemon{first};
        this->upstream->healthy = false;
        this->configure(daemon);
        this->announce(daemon, heartbeat(1));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request(daemon));
    }

private:
    static constexpr unsigned address = 4;
    static constexpr auto drain_time = 2500ms; ///< More than the drain limit of the settings.

    static running_daemon::options options()
    {
        return {.id = "restarted", .address = address, .bindings = test_bindings()};
    }

    static std::string heartbeat(int sequence, int started_ms = 1000)
    {
        return "/beat/i-1/127.199.7." + std::to_string(address) + ":7401/" + std::to_string(started_ms) +
               '/' + std::to_string(sequence) + "/ready";
    }

    void configure(running_daemon& daemon)
    {
        daemon.put_config(1, "1");
        CPPUNIT_ASSERT(daemon.waits_for("event=config_applied version=1"));
    }

    void announce(running_daemon& daemon, const std::string& target)
    {
        plain_client client{daemon.settings().control};
        client.request("POST", target);
        CPPUNIT_ASSERT_EQUAL(200, client.read_status());
    }

    int status_of_request(running_daemon& daemon)
    {
        plain_client client{daemon.settings().outbound};
        client.request("POST", "/0", "X-Attempt: a-1\r\n");
        return client.read_status();
    }

    std::optional<fake_upstream> upstream;
};
CPPUNIT_TEST_SUITE_REGISTRATION(restarted_daemon_test);

} // namespace laburnumreach::sidecar
