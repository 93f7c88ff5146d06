#include "laburnumreach/sidecar/instance_probe.hpp"

#include "scripted_instance.hpp"
#include "test_names.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::sidecar
{

using namespace std::chrono_literals;

/// Guards against health checks that a faulty instance keeps open without end, and against answers that are
/// used although the instance has said otherwise since.
class instance_probe_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_probe_test);
    CPPUNIT_TEST(healthy_answer_names_the_instance);
    CPPUNIT_TEST(answer_without_a_load_names_the_instance);
    CPPUNIT_TEST(other_answers_name_no_instance);
    CPPUNIT_TEST(endless_answer_is_given_up);
    CPPUNIT_TEST(answer_after_a_cancellation_is_discarded);
    CPPUNIT_TEST(checks_are_limited_until_the_instance_is_heard);
    CPPUNIT_TEST_SUITE_END();

public:
    void healthy_answer_names_the_instance()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send(healthy); };
        this->run_until([this] { return this->found.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, this->found->id);
        CPPUNIT_ASSERT_EQUAL(8U, this->found->slots);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->found->started_ms);
    }

    void answer_without_a_load_names_the_instance()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send("HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nContent-Length: 0\r\n\r\n"); };
        this->run_until([this] { return this->found.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1"}, this->found->id);
        CPPUNIT_ASSERT_EQUAL(0U, this->found->slots);
    }

    void other_answers_name_no_instance()
    {
        for (const std::string answer :
             {"HTTP/1.1 503 No\r\nX-Instance: i-1\r\nX-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nX-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Load: 3,0,8\r\nContent-Length: 9\r\n\r\ncut",
              "HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Lo", "no answer\r\n\r\n"})
        {
            this->server.on_request = [&](scripted_instance::connection& peer, std::size_t)
            { peer.send_and_close(answer); };
            const std::size_t before = this->server.requests.size();
            this->probe.rearm();
            this->run_until([&] { return this->server.requests.size() > before; });
            this->run_until([this] { return this->server.open_connections() == 0; });
            CPPUNIT_ASSERT_MESSAGE(answer, !this->found);
        }
    }

    void endless_answer_is_given_up()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t number)
        {
            if (number == 1)
            {
                peer.send_without_end("HTTP/1.1 103 Early Hints\r\n\r\n", 5ms);
                return;
            }
            peer.send(healthy);
        };
        this->run_until([this] { return this->found.has_value(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->server.requests.size());
        this->run_until([this] { return this->server.connections.front()->closed_by_peer; });
    }

    void answer_after_a_cancellation_is_discarded()
    {
        this->run_until([this] { return this->server.requests.size() == 1; });
        this->probe.cancel();
        this->server.connections.front()->send(healthy);
        for (int count = 0; count < 10; ++count)
        {
            this->io.run_one_for(5ms);
        }
        CPPUNIT_ASSERT(!this->found);
    }

    /// Health checks have a cost.
    void checks_are_limited_until_the_instance_is_heard()
    {
        this->server.on_request = [](scripted_instance::connection& peer, std::size_t)
        { peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"); };
        this->run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->server.requests.size());
        this->probe.rearm();
        this->run_for(1s);
        CPPUNIT_ASSERT(this->server.requests.size() > 2);
    }

private:
    static inline const std::string healthy =
        "HTTP/1.1 200 OK\r\nX-Instance: i-1\r\nX-Load: 3,0,8\r\nContent-Length: 0\r\n\r\n";

    void step()
    {
        this->io.run_one_for(5ms);
        this->probe.tick(!this->found, "/health", core::boot_clock::now());
    }

    void run_for(core::duration time)
    {
        for (const core::time_point end = core::boot_clock::now() + time; core::boot_clock::now() < end;)
        {
            this->step();
        }
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const core::time_point limit = core::boot_clock::now() + 10s;
        while (!condition() && core::boot_clock::now() < limit)
        {
            this->step();
        }
        CPPUNIT_ASSERT(condition());
    }

    asio::io_context io{1};
    scripted_instance server{this->io};
    std::optional<instance_heartbeat> found;
    instance_probe probe{
        this->io,
        {.address = this->server.address(), .address_text = "a", .service = "s", .names = test_names()},
        [this](const instance_heartbeat& answer) { this->found = answer; }};
};
CPPUNIT_TEST_SUITE_REGISTRATION(instance_probe_test);

} // namespace laburnumreach::sidecar
