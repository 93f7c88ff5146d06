#include "laburnumreach/protocol/control_transport.hpp"

#include "laburnumreach/standin/port_reservation.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <vector>

namespace laburnumreach::protocol
{

namespace
{

/// Bounds the time of a hanging test; no result depends on the measured time.
constexpr int receive_limit_ms = 10'000;

std::unique_ptr<control_transport> open_transport(const std::string& address)
{
    auto transport = control_transport::open({.listen_address = address, .max_connections = 2});
    CPPUNIT_ASSERT(transport.has_value());
    return std::move(*transport);
}

std::vector<std::uint8_t> receive_one(control_transport& transport)
{
    std::vector<std::uint8_t> message;
    pollfd poll_entry{.fd = transport.receive_descriptor(), .events = POLLIN, .revents = 0};
    while (!transport.receive(message))
    {
        CPPUNIT_ASSERT(::poll(&poll_entry, 1, receive_limit_ms) == 1);
    }
    return message;
}

} // namespace

/// Guards against control messages that are not delivered because a connection is not yet up, was reset, or
/// was evicted from a full set of connections.
class control_transport_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_transport_test);
    CPPUNIT_TEST(delivers_before_the_connection_is_up);
    CPPUNIT_TEST(delivers_again_after_reset_and_eviction);
    CPPUNIT_TEST(second_listener_on_an_address_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    void delivers_before_the_connection_is_up()
    {
        const standin::port_reservation own;
        const standin::port_reservation other;
        const auto sender = open_transport(own.address());
        const std::string target = other.address();
        const std::vector<std::uint8_t> message{1, 2, 3};
        sender->send(target, message);
        const auto receiver = open_transport(target);
        CPPUNIT_ASSERT(receive_one(*receiver) == message);
    }

    void delivers_again_after_reset_and_eviction()
    {
        const standin::port_reservation own;
        const standin::port_reservation other;
        const auto sender = open_transport(own.address());
        const std::string target = other.address();
        const auto receiver = open_transport(target);
        const std::vector<std::uint8_t> message{9};
        sender->send(target, message);
        receive_one(*receiver);
        sender->reset(target);
        sender->send(target, message);
        receive_one(*receiver);
        // max_connections is 2, so connections to two more addresses evict the first one.
        const std::vector<standin::port_reservation> unused_addresses(2);
        sender->send(unused_addresses.front().address(), message);
        sender->send(unused_addresses.back().address(), message);
        sender->send(target, message);
        receive_one(*receiver);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, receiver->counters().messages_received);
    }

    void second_listener_on_an_address_fails()
    {
        const standin::port_reservation reserved;
        const std::string address = reserved.address();
        const auto first = open_transport(address);
        CPPUNIT_ASSERT(!control_transport::open({.listen_address = address}).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_transport_test);

} // namespace laburnumreach::protocol
