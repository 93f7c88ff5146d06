#include "laburnumreach/http/server.hpp"

#include "echo_server.hpp"
#include "raw_caller.hpp"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
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
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against losing the bytes that were read behind a request.
    void pipelined_requests_are_answered_in_order()
    {
        const auto running = start_server({.workers = 2});
        raw_caller caller{running->port()};
        caller.send("POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                    "POST /two HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n"
                    "GET /three HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::string answers = caller.receive_all();
        const std::size_t one = answers.find("POST /one abc");
        const std::size_t two = answers.find("POST /two de");
        const std::size_t three = answers.find("GET /three ");
        CPPUNIT_ASSERT(one != std::string::npos && two != std::string::npos && three != std::string::npos);
        CPPUNIT_ASSERT(one < two && two < three);
    }

    /// Guards against two daemons that share one port without noticing.
    void second_bind_fails()
    {
        const auto running = start_server({.workers = 1});
        const auto second = server::start({.port = running->port(), .workers = 1}, echo);
        CPPUNIT_ASSERT(!second);
        CPPUNIT_ASSERT(second.error().code == core::error_code::unavailable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace laburnumreach::http
