#include "echo_server.hpp"
#include "raw_caller.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace laburnumreach::http
{

/// Guards against a stop that cuts requests or never ends, and against work for callers that are gone.
class drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_test);
    CPPUNIT_TEST(drain_cuts_no_running_request);
    CPPUNIT_TEST(drain_serves_a_request_that_has_begun_to_arrive);
    CPPUNIT_TEST(caller_gone_is_noticed);
    CPPUNIT_TEST(stop_ends_a_waiting_handler);
    CPPUNIT_TEST_SUITE_END();

    static core::time_point soon() { return core::boot_clock::now() + std::chrono::seconds{30}; }

public:
    void drain_cuts_no_running_request()
    {
        std::promise<void> entered;
        std::promise<void> release;
        const auto running = start_server({.workers = 2},
                                          [&](incoming_request& request, response& answer)
                                          {
                                              entered.set_value();
                                              release.get_future().wait();
                                              echo(request, answer);
                                          });
        raw_caller idle{running->port()};
        raw_caller busy{running->port()};
        busy.send("POST /busy HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
        entered.get_future().wait();
        running->begin_drain();
        CPPUNIT_ASSERT_THROW(raw_caller{running->port()}, std::runtime_error);
        CPPUNIT_ASSERT_EQUAL(std::string{}, idle.receive_all());
        CPPUNIT_ASSERT(!running->wait_until_idle(core::boot_clock::now()));
        release.set_value();
        busy.send("bc");
        const std::string answer = busy.receive_all();
        CPPUNIT_ASSERT(answer.find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("POST /busy abc"));
        CPPUNIT_ASSERT(running->wait_until_idle(soon()));
        running->stop();
    }

    void drain_serves_a_request_that_has_begun_to_arrive()
    {
        const auto running = start_server({.workers = 1});
        raw_caller caller{running->port()};
        caller.send("GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTT");
        caller.receive_until("GET /one ");
        running->begin_drain();
        caller.send("P/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(caller.receive_all().ends_with("GET /two "));
        CPPUNIT_ASSERT(running->wait_until_idle(soon()));
    }

    void caller_gone_is_noticed()
    {
        std::promise<void> entered;
        std::promise<bool> present;
        const auto running = start_server({.workers = 1},
                                          [&](incoming_request& request, response&)
                                          {
                                              present.set_value(!request.caller_gone());
                                              entered.set_value();
                                              // Pipelined bytes before the close do not hide it.
                                              while (!request.caller_gone())
                                              {
                                                  ::usleep(1000);
                                              }
                                          });
        raw_caller caller{running->port()};
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        entered.get_future().wait();
        CPPUNIT_ASSERT(present.get_future().get());
        caller.send("GET /next HTTP/1.1\r\n");
        caller.close();
        running->begin_drain();
        CPPUNIT_ASSERT(running->wait_until_idle(soon()));
    }

    void stop_ends_a_waiting_handler()
    {
        std::promise<void> entered;
        std::atomic<bool> gone{false};
        std::atomic<body_status> ended{body_status::data};
        const auto running = start_server({.workers = 1},
                                          [&](incoming_request& request, response&)
                                          {
                                              entered.set_value();
                                              std::string body;
                                              ended = read_whole_body(request, body);
                                              gone = request.caller_gone();
                                          });
        raw_caller caller{running->port()};
        caller.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n");
        entered.get_future().wait();
        running->stop();
        CPPUNIT_ASSERT(ended == body_status::disconnected);
        CPPUNIT_ASSERT(gone);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, running->counters().open_connections.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);

} // namespace laburnumreach::http
