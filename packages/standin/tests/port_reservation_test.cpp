#include "laburnumreach/standin/port_reservation.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace laburnumreach::standin
{

namespace
{

/// Binds a loopback port and listens on it.
/// @returns whether both succeeded
bool can_listen(std::uint16_t port, bool reuse_address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = reuse_address ? 1 : 0;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool listening =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        ::listen(descriptor, 1) == 0;
    ::close(descriptor);
    return listening;
}

} // namespace

/// Guards against tests that lose a port between choosing it and listening on it.
class port_reservation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(port_reservation_test);
    CPPUNIT_TEST(a_listener_of_the_test_gets_the_port);
    CPPUNIT_TEST(others_do_not_get_the_port);
    CPPUNIT_TEST(reservations_differ);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_listener_of_the_test_gets_the_port()
    {
        const port_reservation reserved;
        CPPUNIT_ASSERT(can_listen(reserved.port(), true));
    }

    void others_do_not_get_the_port()
    {
        const port_reservation reserved;
        CPPUNIT_ASSERT(!can_listen(reserved.port(), false));
    }

    void reservations_differ()
    {
        // By the birthday bound 400 ports that are only looked up collide almost surely.
        constexpr std::size_t count = 400;
        std::vector<port_reservation> reserved(count);
        std::set<std::uint16_t> ports;
        for (const port_reservation& one : reserved)
        {
            ports.insert(one.port());
        }
        CPPUNIT_ASSERT_EQUAL(count, ports.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(port_reservation_test);

} // namespace laburnumreach::standin
