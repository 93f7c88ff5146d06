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
    CPPUNIT_TEST(deregistration_binds_the_next_process_although_the_health_answer_is_false);
    CPPUNIT_TEST(draining_binds_the_next_process_although_nothing_more_is_heard);
    CPPUNIT_TEST(departure_binds_the_process_after_the_next_one);
    CPPUNIT_TEST(departure_binds_although_the_first_daemon_that_connects_did_not_hear_of_it);
    CPPUNIT_TEST(departure_in_the_store_binds_the_next_process);
    CPPUNIT_TEST(departure_that_nobody_else_can_hold_is_not_acknowledged);
    CPPUNIT_TEST(departure_that_the_store_holds_is_acknowledged);
    CPPUNIT_TEST(instance_that_never_left_gets_work_after_a_restart);
    CPPUNIT_TEST(new_incarnation_under_the_old_id_gets_work_after_a_restart);
    CPPUNIT_TEST(incarnation_that_works_again_is_not_held_up_by_the_next_restart);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->upstream.emplace(
            config::endpoint{.address = "127.199.7." + std::to_string(address), .port = 7401});
    }

    void tearDown() override
    {
        this->restarted.reset();
        this->peer.reset();
        this->second_peer.reset();
        this->upstream.reset();
    }

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
        this->announce(daemon, heartbeat(1, later_start_ms));
        CPPUNIT_ASSERT(daemon.waits_for("event=instance_changed instance=i-1 started_ms=" +
                                        std::to_string(later_start_ms)));
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

    /// Review case 12.
    void deregistration_binds_the_next_process_although_the_health_answer_is_false()
    {
        this->start_with_peer();
        this->announce(*this->restarted, "/leave/i-1");
        this->restart();
        this->expect_no_work();
    }

    /// A leaving instance may send nothing more.
    void draining_binds_the_next_process_although_nothing_more_is_heard()
    {
        this->start_with_peer();
        this->announce(*this->restarted, heartbeat(5, 1000, "draining"));
        this->restart();
        this->expect_no_work();
    }

    void departure_binds_the_process_after_the_next_one()
    {
        this->start_with_peer();
        this->announce(*this->restarted, "/leave/i-1");
        this->restart();
        CPPUNIT_ASSERT(this->peer->waits_for("event=peer_connected peer=restarted"));
        this->restart();
        this->expect_no_work();
    }

    void departure_binds_although_the_first_daemon_that_connects_did_not_hear_of_it()
    {
        this->start_with_peer();
        this->announce(*this->restarted, "/leave/i-1");
        this->restarted.reset();
        this->second_peer.emplace(peer_options("second", second_peer_address));
        this->configure(*this->second_peer);
        this->restarted.emplace(options());
        this->configure(*this->restarted);
        this->restarted->connect_to(*this->second_peer);
        this->expect_no_work();
    }

    void departure_in_the_store_binds_the_next_process()
    {
        running_daemon daemon{options()};
        daemon.put_departures({{.instance_id = "i-1", .last_start_ms = 1000}});
        this->configure(daemon);
        std::this_thread::sleep_for(500ms);
        CPPUNIT_ASSERT(this->upstream->health_checks > 0);
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request(daemon));
        CPPUNIT_ASSERT_EQUAL(0, this->upstream->requests.load());
    }

    void departure_that_nobody_else_can_hold_is_not_acknowledged()
    {
        this->start_with_peer();
        this->peer.reset();
        const core::time_point begin = core::boot_clock::now();
        CPPUNIT_ASSERT_EQUAL(503, status_of_announcement(*this->restarted, "/leave/i-1"));
        CPPUNIT_ASSERT(core::boot_clock::now() - begin < 1s);
        CPPUNIT_ASSERT(this->restarted->waits_for("event=departure_not_recorded"));
        // It gets no more work all the same.
        std::this_thread::sleep_for(drain_time);
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request(*this->restarted));
    }

    void departure_that_the_store_holds_is_acknowledged()
    {
        this->start_with_peer(true);
        this->peer.reset();
        CPPUNIT_ASSERT_EQUAL(200, status_of_announcement(*this->restarted, "/leave/i-1"));
    }

    void instance_that_never_left_gets_work_after_a_restart()
    {
        this->start_with_peer();
        this->restart();
        CPPUNIT_ASSERT(this->restarted->waits_for("event=instance_changed instance=i-1"));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request(*this->restarted));
    }

    void new_incarnation_under_the_old_id_gets_work_after_a_restart()
    {
        this->start_with_peer();
        this->announce(*this->restarted, "/leave/i-1");
        this->restart();
        this->expect_no_work();
        this->announce(*this->restarted, heartbeat(1, later_start_ms));
        CPPUNIT_ASSERT(this->restarted->waits_for("event=instance_changed instance=i-1 started_ms=" +
                                                  std::to_string(later_start_ms)));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request(*this->restarted));
    }

    void incarnation_that_works_again_is_not_held_up_by_the_next_restart()
    {
        this->new_incarnation_under_the_old_id_gets_work_after_a_restart();
        this->restart();
        CPPUNIT_ASSERT(this->restarted->waits_for("event=instance_changed instance=i-1"));
        CPPUNIT_ASSERT_EQUAL(200, this->status_of_request(*this->restarted));
    }

private:
    static constexpr unsigned address = 4;
    static constexpr unsigned peer_address = 8;
    static constexpr unsigned second_peer_address = 9;
    static constexpr std::uint64_t later_start_ms = 4'000'000'000'000; ///< Later than any deregistration.
    static constexpr auto drain_time = 2500ms; ///< More than the drain limit of the settings.

    static running_daemon::options options()
    {
        return {.id = "restarted", .address = address, .bindings = test_bindings()};
    }

    static running_daemon::options peer_options(const std::string& id, unsigned last_number)
    {
        return {.id = id, .address = last_number, .bindings = test_bindings()};
    }

    static std::string heartbeat(int sequence, std::uint64_t started_ms = 1000,
                                 const std::string& state = "ready")
    {
        return "/beat/i-1/127.199.7." + std::to_string(address) + ":7401/" + std::to_string(started_ms) +
               '/' + std::to_string(sequence) + '/' + state;
    }

    /// Starts the daemon with a working instance, and another one without an instance.
    void start_with_peer(bool store_holds_departures = false)
    {
        this->peer.emplace(peer_options("peer", peer_address));
        this->configure(*this->peer);
        running_daemon::options chosen = options();
        chosen.store_holds_departures = store_holds_departures;
        this->restarted.emplace(chosen);
        this->configure(*this->restarted);
        this->restarted->connect_to(*this->peer);
        CPPUNIT_ASSERT(this->restarted->waits_for("event=instance_changed instance=i-1"));
    }

    /// Ends the daemon and starts it again. Health checks of the instance are answered with 200 all the
    /// while.
    void restart()
    {
        this->restarted.reset();
        this->restarted.emplace(options());
        this->configure(*this->restarted);
    }

    /// Waits until the daemons are connected again, and checks that the instance gets no work.
    void expect_no_work()
    {
        CPPUNIT_ASSERT(this->restarted->waits_for("event=peer_connected peer=peer"));
        std::this_thread::sleep_for(500ms);
        const int before = this->upstream->requests;
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request(*this->restarted));
        CPPUNIT_ASSERT_EQUAL(503, this->status_of_request(*this->peer));
        CPPUNIT_ASSERT_EQUAL(before, this->upstream->requests.load());
    }

    void configure(running_daemon& daemon)
    {
        daemon.put_config(1, "1");
        CPPUNIT_ASSERT(daemon.waits_for("event=config_applied version=1"));
    }

    void announce(running_daemon& daemon, const std::string& target)
    {
        CPPUNIT_ASSERT_EQUAL(200, status_of_announcement(daemon, target));
    }

    static int status_of_announcement(running_daemon& daemon, const std::string& target)
    {
        plain_client client{daemon.settings().control};
        client.request("POST", target);
        return client.read_status();
    }

    int status_of_request(running_daemon& daemon)
    {
        plain_client client{daemon.settings().outbound};
        client.request("POST", "/0", "X-Attempt: a-1\r\n");
        return client.read_status();
    }

    std::optional<fake_upstream> upstream;
    std::optional<running_daemon> peer;
    std::optional<running_daemon> second_peer;
    std::optional<running_daemon> restarted;
};
CPPUNIT_TEST_SUITE_REGISTRATION(restarted_daemon_test);

} // namespace laburnumreach::sidecar
