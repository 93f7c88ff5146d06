#include "laburnumreach/http/client_pool.hpp"

#include "echo_server.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::http
{

class client_pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_pool_test);
    CPPUNIT_TEST(connections_are_reused);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a new connection for each request.
    void connections_are_reused()
    {
        const auto running = start_server({.workers = 2});
        const endpoint destination{.address = "127.0.0.1", .port = running->port()};
        client_pool pool{{}};
        for (int count = 0; count < 3; ++count)
        {
            const exchange_result result =
                pool.send(destination, {.method = "POST", .target = "/a%20b?c=d?e", .body = "xyz"});
            CPPUNIT_ASSERT(result.complete());
            CPPUNIT_ASSERT_EQUAL(std::string{"POST /a%20b?c=d?e xyz"}, result.answer.body);
            CPPUNIT_ASSERT_EQUAL(count > 0, result.reused);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool.idle_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_pool_test);

} // namespace laburnumreach::http
