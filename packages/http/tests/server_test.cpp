#include "laburnumreach/http/server.hpp"

#include "echo_server.hpp"
#include "raw_caller.hpp"

#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <vector>

namespace laburnumreach::http
{

class server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(second_bind_fails);
    CPPUNIT_TEST(new_caller_is_served_despite_many_idle_connections);
    CPPUNIT_TEST(callers_over_the_limit_are_refused);
    CPPUNIT_TEST(slow_head_does_not_block_a_worker);
    CPPUNIT_TEST(slow_body_arrives_complete);
    CPPUNIT_TEST(refused_body_is_not_read);
    CPPUNIT_TEST(continue_response_is_sent_when_the_body_is_read);
    CPPUNIT_TEST(idle_connections_time_out);
    CPPUNIT_TEST(handler_exception_is_answered);
    CPPUNIT_TEST(head_response_has_no_body);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against losing bytes that were received together with an earlier request.
    void pipelined_requests_are_answered_in_order()
    {
        const auto running = start_server({.workers = 2});
        const std::string answers = send_and_receive(
            running->port(),
            "POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
            "POST /two HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
            "GET /three HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::size_t one = answers.find("POST /one abc");
        const std::size_t two = answers.find("POST /two de");
        const std::size_t three = answers.find("GET /three ");
        CPPUNIT_ASSERT(one != std::string::npos && two != std::string::npos && three != std::string::npos);
        CPPUNIT_ASSERT(one < two && two < three);
    }

    /// Guards against two daemons that bind the same port without an error.
    void second_bind_fails()
    {
        const auto running = start_server({.workers = 1});
        const auto second = server::start({.port = running->port(), .workers = 1}, echo);
        CPPUNIT_ASSERT(!second);
        CPPUNIT_ASSERT(second.error().code == core::error_code::unavailable);
    }

    /// Guards against idle connections that hold workers or delay a new caller.
    void new_caller_is_served_despite_many_idle_connections()
    {
        constexpr std::size_t idle_count = 1700;
        constexpr rlim_t descriptors = 2 * idle_count + 200;
        rlimit limit{};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::max(limit.rlim_cur, std::min(limit.rlim_max, descriptors));
        CPPUNIT_ASSERT(::setrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur >= descriptors);
        const auto running = start_server({.workers = 4});
        std::vector<raw_caller> idle;
        for (std::size_t count = 0; count < idle_count; ++count)
        {
            idle.emplace_back(running->port());
        }
        // One request each, so that every connection has been served by a worker and parked again.
        for (raw_caller& caller : idle)
        {
            caller.send("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        for (raw_caller& caller : idle)
        {
            caller.receive_until("GET /idle ");
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{idle_count}, running->counters().requests.load());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{idle_count}, running->counters().open_connections.load());
        CPPUNIT_ASSERT(
            send_and_receive(running->port(), "GET /fresh HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                .find("GET /fresh ") != std::string::npos);
    }

    /// Guards against an unlimited number of connections, and against a refusal that is lost or needs a free
    /// worker.
    void callers_over_the_limit_are_refused()
    {
        std::atomic<bool> release{false};
        const auto running = start_server({.workers = 1, .max_connections = 2},
                                          [&](incoming_request& request, response& answer)
                                          {
                                              release.wait(false);
                                              echo(request, answer);
                                          });
        raw_caller first{running->port()};
        raw_caller second{running->port()};
        first.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
        raw_caller third{running->port()};
        third.send("GET /third HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string refusal = third.receive_until("}");
        CPPUNIT_ASSERT(refusal.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(refusal.find("Laburnum-Verdict: not_run\r\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, running->counters().refused_connections.load());
        release = true;
        release.notify_all();
        CPPUNIT_ASSERT(first.receive_until("/first").find("GET /first") != std::string::npos);
    }

    /// Guards against a caller that blocks the only worker by sending its head slowly.
    void slow_head_does_not_block_a_worker()
    {
        const auto running = start_server({.workers = 1});
        raw_caller slow{running->port()};
        slow.send("GET /slow HTTP/1.1\r\nHo");
        raw_caller quick{running->port()};
        quick.send("GET /quick HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(quick.receive_until("/quick").find("GET /quick") != std::string::npos);
        slow.send("st: h\r\n\r\n");
        CPPUNIT_ASSERT(slow.receive_until("/slow").find("GET /slow") != std::string::npos);
    }

    /// Guards against a body that is truncated or reordered when it arrives in parts.
    void slow_body_arrives_complete()
    {
        const auto running = start_server({.workers = 1});
        for (const bool chunked : {false, true})
        {
            raw_caller caller{running->port()};
            caller.send("PUT /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
            caller.send(chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: 100000\r\n\r\n");
            std::string expected = "PUT /up ";
            for (int part = 0; part < 100; ++part)
            {
                const std::string bytes(1000, static_cast<char>('a' + part % 26));
                expected += bytes;
                caller.send(chunked ? "3e8\r\n" + bytes + "\r\n" : bytes);
                ::usleep(200);
            }
            caller.send(chunked ? "0\r\n\r\n" : "");
            CPPUNIT_ASSERT(caller.receive_all().ends_with("\r\n\r\n" + expected));
        }
    }

    /// Guards against a refusal that waits for the body, and against unread body bytes parsed as a request.
    void refused_body_is_not_read()
    {
        const auto running =
            start_server({.workers = 1},
                         [](incoming_request&, response& answer) {
                             answer = make_verdict_response(
                                 {.result = core::outcome::not_run, .why = core::reason::body_too_large});
                         });
        raw_caller caller{running->port()};
        caller.send("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
        for (int count = 0; count < 1000; ++count)
        {
            caller.send("GET /in_body HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        const std::string answer = caller.receive_all();
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 413 "));
        CPPUNIT_ASSERT(answer.find("Connection: close\r\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, running->counters().requests.load());
    }

    /// Guards against a caller that never gets the 100 Continue it waits for, or gets it before a refusal.
    void continue_response_is_sent_when_the_body_is_read()
    {
        const auto running = start_server({.workers = 1});
        raw_caller caller{running->port()};
        caller.send("PUT /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 100 Continue\r\n\r\n"}, caller.receive_until("\r\n\r\n"));
        caller.send("abc");
        CPPUNIT_ASSERT(caller.receive_until("abc").ends_with("PUT /c abc"));
    }

    /// Guards against connections that stay open forever without a request or with an incomplete one.
    void idle_connections_time_out()
    {
        constexpr std::chrono::milliseconds timeout{50};
        const auto short_timeout_server =
            start_server({.workers = 1, .idle_timeout = timeout, .read_timeout = timeout});
        raw_caller idle{short_timeout_server->port()};
        raw_caller partial{short_timeout_server->port()};
        partial.send("GET / HT");
        CPPUNIT_ASSERT_EQUAL(std::string{}, idle.receive_all());
        CPPUNIT_ASSERT_EQUAL(std::string{}, partial.receive_all());
        const auto running = start_server({.workers = 1, .read_timeout = timeout});
        CPPUNIT_ASSERT(
            send_and_receive(running->port(), "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na")
                .starts_with("HTTP/1.1 400 "));
    }

    /// Guards against an exception that terminates the worker.
    void handler_exception_is_answered()
    {
        const auto running = start_server({.workers = 1}, [](incoming_request&, response&)
                                          { throw std::runtime_error{"secret"}; });
        for (std::uint64_t count = 1; count <= 2; ++count)
        {
            raw_caller caller{running->port()};
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            const std::string answer = caller.receive_until("}");
            CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 500 "));
            CPPUNIT_ASSERT(answer.find("secret") == std::string::npos);
            CPPUNIT_ASSERT_EQUAL(count, running->counters().handler_failures.load());
        }
    }

    /// Guards against a body after a HEAD request, which the caller would parse as the next response.
    void head_response_has_no_body()
    {
        const auto running = start_server({.workers = 1});
        CPPUNIT_ASSERT_EQUAL(
            std::string{"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 8\r\n\r\n"},
            send_and_receive(running->port(), "HEAD /h HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace laburnumreach::http
