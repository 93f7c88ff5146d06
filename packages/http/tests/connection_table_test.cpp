#include "../src/connection_table.hpp"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/socket.h>

namespace laburnumreach::http
{

/// Guards against connections that are kept although no event of theirs can be reported: their callers would
/// wait until the idle timeout, and their slots would be missing.
class connection_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_table_test);
    CPPUNIT_TEST(connection_that_cannot_be_watched_is_closed);
    CPPUNIT_TEST(connection_that_can_no_longer_be_watched_is_closed);
    CPPUNIT_TEST_SUITE_END();

public:
    void connection_that_cannot_be_watched_is_closed()
    {
        connection_table table{this->options, this->counters};
        // epoll rejects descriptors of regular files.
        tcp_socket file{::open("/proc/self/exe", O_RDONLY | O_CLOEXEC)};
        CPPUNIT_ASSERT(file.is_open());
        CPPUNIT_ASSERT(table.add(std::move(file), "127.0.0.1") == nullptr);
        CPPUNIT_ASSERT(table.wait_until_empty(core::boot_clock::now()));
    }

    void connection_that_can_no_longer_be_watched_is_closed()
    {
        connection_table table{this->options, this->counters};
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()));
        const tcp_socket caller{ends[1]};
        server_connection* const connection = table.add(tcp_socket{ends[0]}, "127.0.0.1");
        CPPUNIT_ASSERT(connection != nullptr);
        // The new socket is not in the epoll set, so it cannot be armed again.
        std::array<int, 2> others{};
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, others.data()));
        const tcp_socket other_caller{others[1]};
        connection->socket = tcp_socket{others[0]};
        table.park(*connection, connection_phase::idle);
        CPPUNIT_ASSERT(table.wait_until_empty(core::boot_clock::now()));
    }

private:
    server_options options{.max_connections = 1};
    server_counters counters;
};
CPPUNIT_TEST_SUITE_REGISTRATION(connection_table_test);

} // namespace laburnumreach::http
