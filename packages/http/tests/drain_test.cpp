#include "echo_server.hpp"
#include "raw_caller.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace laburnumreach::http
{

/// Guards against a stop that aborts running requests or never ends, and against work for callers that have
/// disconnected.
class drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_test);
    CPPUNIT_TEST(drain_completes_running_requests);
    CPPUNIT_TEST(drain_serves_a_request_that_has_begun_to_arrive);
    CPPUNIT_TEST(caller_disconnect_is_detected);
    CPPUNIT_TEST(stop_ends_a_waiting_handler);
    CPPUNIT_TEST_SUITE_END();

    static core::time_point soon() { return core::boot_clock::now() + std::chrono::seconds{30}; }

public:
    void drain_completes_running_requests()
    {
        std::promise<void> handler_entered;
        std::promise<void> release;
        const auto running = start_server({.workers = 2},
                                          [&](incoming_request& request, response& answer)
                                          {
                                              handler_entered.set_value();
                                              release.get_future().wait();
                                              echo(request, answer);
                                          });
        raw_caller idle{running->port()};
        raw_caller busy{running->port()};
        busy.send("POST /busy HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
        handler_entered.get_future().wait();
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

    void caller_disconnect_is_detected()
    {
        std::promise<void> handler_entered;
        std::promise<bool> present;
        const auto running = start_server({.workers = 1},
                                          [&](incoming_request& request, response&)
                                          {
                                              present.set_value(!request.caller_gone());
                                              handler_entered.set_value();
                                              // Pipelined bytes received before the close must not hide it.
                                              while (!request.caller_gone())
                                              {
                                                  ::usleep(1000);
                                              }
                                          });
        raw_caller caller{running->port()};
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        handler_entered.get_future().wait();
        CPPUNIT_ASSERT(present.get_future().get());
        caller.send("GET /next HTTP/1.1\r\n");
        caller.close();
        running->begin_drain();
        CPPUNIT_ASSERT(running->wait_until_idle(soon()));
    }

    void stop_ends_a_waiting_handler()
    {
        std::promise<void> handler_entered;
        std::atomic<bool> gone{false};
        std::atomic<body_status> ended{body_status::data};
        const auto running = start_server({.workers = 1},
                                          [&](incoming_request& request, response&)
                                          {
                                              handler_entered.set_value();
                                              std::string body;
                                              ended = read_whole_body(request, body);
                                              gone = request.caller_gone();
                                          });
        raw_caller caller{running->port()};
        caller.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n");
        handler_entered.get_future().wait();
        running->stop();
        CPPUNIT_ASSERT(ended == body_status::disconnected);
        CPPUNIT_ASSERT(gone);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, running->counters().open_connections.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);

} // namespace laburnumreach::http
