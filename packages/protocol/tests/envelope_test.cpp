#include "laburnumreach/protocol/call_envelope.hpp"
#include "laburnumreach/protocol/control_envelope.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::protocol
{

/// Guards against a daemon that acts on a forged or corrupted message.
class envelope_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(envelope_test);
    CPPUNIT_TEST(control_envelope_round_trip);
    CPPUNIT_TEST(every_flipped_bit_is_detected);
    CPPUNIT_TEST(truncated_messages_are_rejected);
    CPPUNIT_TEST(another_secret_is_rejected);
    CPPUNIT_TEST(another_version_is_rejected);
    CPPUNIT_TEST(call_envelope_round_trip);
    CPPUNIT_TEST(corrupted_call_envelopes_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    message_authenticator authenticator{"0123456789abcdef"};
    control_envelope control{.kind = 2,
                             .sender = "vm-a1",
                             .sender_incarnation = 7,
                             .sender_address = "127.0.0.1:7003",
                             .receiver = "vm-b1",
                             .body = {1, 2, 3}};

public:
    void control_envelope_round_trip()
    {
        const auto decoded =
            verify_and_decode(encode_and_sign(this->control, this->authenticator), this->authenticator);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(this->control.sender, decoded->sender);
        CPPUNIT_ASSERT_EQUAL(this->control.sender_incarnation, decoded->sender_incarnation);
        CPPUNIT_ASSERT(this->control.body == decoded->body);
    }

    void every_flipped_bit_is_detected()
    {
        const auto signed_message = encode_and_sign(this->control, this->authenticator);
        for (std::size_t bit = 0; bit < signed_message.size() * 8; ++bit)
        {
            auto corrupted = signed_message;
            corrupted[bit / 8] = static_cast<std::uint8_t>(corrupted[bit / 8] ^ (1U << (bit % 8)));
            CPPUNIT_ASSERT(!verify_and_decode(corrupted, this->authenticator));
        }
    }

    void truncated_messages_are_rejected()
    {
        const auto signed_message = encode_and_sign(this->control, this->authenticator);
        for (std::size_t size = 0; size < signed_message.size(); ++size)
        {
            CPPUNIT_ASSERT(!verify_and_decode(std::span{signed_message}.first(size), this->authenticator));
        }
    }

    void another_secret_is_rejected()
    {
        const message_authenticator other_authenticator{"fedcba9876543210"};
        CPPUNIT_ASSERT(
            !verify_and_decode(encode_and_sign(this->control, other_authenticator), this->authenticator));
    }

    void another_version_is_rejected()
    {
        this->control.version = protocol_version + 1;
        CPPUNIT_ASSERT(
            !verify_and_decode(encode_and_sign(this->control, this->authenticator), this->authenticator));
    }

    void call_envelope_round_trip()
    {
        const call_envelope call{.sender = "vm-a1", .tenant = "serra", .remaining_us = 123, .depth = 2};
        const auto parsed =
            parse_header_value(to_header_value(call, this->authenticator), this->authenticator);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(call.tenant, parsed->tenant);
        CPPUNIT_ASSERT_EQUAL(call.remaining_us, parsed->remaining_us);
        CPPUNIT_ASSERT_EQUAL(call.depth, parsed->depth);
    }

    void corrupted_call_envelopes_are_rejected()
    {
        const std::string value = to_header_value({.tenant = "serra"}, this->authenticator);
        for (std::size_t index = 0; index < value.size(); ++index)
        {
            std::string corrupted = value;
            corrupted[index] = corrupted[index] == 'A' ? 'B' : 'A';
            const auto parsed = parse_header_value(corrupted, this->authenticator);
            // The last base64 digits before the padding have unused bits; a change of those has no effect.
            CPPUNIT_ASSERT(!parsed || parsed->tenant == "serra");
            if (index < value.size() - 4)
            {
                CPPUNIT_ASSERT(!parsed);
            }
        }
        CPPUNIT_ASSERT(!parse_header_value("", this->authenticator));
        CPPUNIT_ASSERT(!parse_header_value("not base64!", this->authenticator));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(envelope_test);

} // namespace laburnumreach::protocol
