#include "laburnumreach/sidecar/peer_messages.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace laburnumreach::sidecar
{

namespace
{

/// Encodes a message and decodes it again, as a peer does.
template <typename Message>
bool accepted(const Message& message)
{
    const std::vector<std::uint8_t> bytes = protocol::encode_message(message);
    const auto decoded = protocol::decode_message<Message>(bytes);
    return decoded && is_valid(*decoded);
}

probe_message probe_with(double rate, double tokens)
{
    return {.sequence = 1,
            .demand = {{.covers_zone = false,
                        .customers = {{.customer = "c", .rate = rate}},
                        .routes = {{.route = "r", .rank = 0, .rate = rate}}}},
            .tokens = {{.customer = "c", .tokens = tokens}}};
}

} // namespace

/// Guards against a message between daemons that ends the process or spoils rates, tokens and call ratios.
class peer_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_messages_test);
    CPPUNIT_TEST(stated_sizes_allocate_nothing);
    CPPUNIT_TEST(deep_nesting_is_rejected);
    CPPUNIT_TEST(odd_amounts_are_rejected);
    CPPUNIT_TEST(integers_out_of_range_are_rejected);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An array, map, string, binary or extension of four billion elements, of which none follows.
    void stated_sizes_allocate_nothing()
    {
        for (const std::uint8_t type : {0xdd, 0xdf, 0xdb, 0xc6, 0xc9})
        {
            const std::vector<std::uint8_t> bytes{type, 0xff, 0xff, 0xff, 0xff};
            CPPUNIT_ASSERT(!protocol::decode_message<members_message>(bytes));
        }
    }

    void deep_nesting_is_rejected()
    {
        constexpr std::uint8_t array_of_one = 0x91;
        constexpr std::uint8_t nil = 0xc0;
        std::vector<std::uint8_t> bytes(1'000'000, array_of_one);
        bytes.push_back(nil);
        CPPUNIT_ASSERT(!protocol::decode_message<members_message>(bytes));
        CPPUNIT_ASSERT(!protocol::decode_message<probe_message>(bytes));
    }

    void odd_amounts_are_rejected()
    {
        CPPUNIT_ASSERT(accepted(probe_with(0, 0)));
        CPPUNIT_ASSERT(accepted(probe_with(1000, 20)));
        constexpr double infinite = std::numeric_limits<double>::infinity();
        constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
        for (const double odd : {-1.0, infinite, -infinite, not_a_number, 1e300})
        {
            CPPUNIT_ASSERT(!accepted(probe_with(odd, 0)));
            CPPUNIT_ASSERT(!accepted(probe_with(0, odd)));
            CPPUNIT_ASSERT(!accepted(probe_reply_message{
                .ratios = {{.parent_route = "p", .child_route = "c", .calls_per_run = odd}}}));
            CPPUNIT_ASSERT(!accepted(token_request_message{.id = 1, .customer = "c", .urgency = odd}));
        }
    }

    void integers_out_of_range_are_rejected()
    {
        // A record with the port 65,536, which takes three bytes more than the port 7.
        std::vector<std::uint8_t> bytes = protocol::encode_message(
            member_record{.daemon_id = "d", .started_ms = 1, .address = "10.0.0.1", .peer_port = 7});
        CPPUNIT_ASSERT(protocol::decode_message<member_record>(bytes));
        constexpr std::uint8_t port = 7;
        const auto position = std::find(bytes.begin(), bytes.end(), port);
        *position = 0xce;
        bytes.insert(position + 1, {0x00, 0x01, 0x00, 0x00});
        CPPUNIT_ASSERT(!protocol::decode_message<member_record>(bytes));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(peer_messages_test);

} // namespace laburnumreach::sidecar
