#include "laburnumreach/protocol/quota_messages.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::protocol
{

/// Guards against a field that is missing in a message layout: no field of a test message has its default
/// value.
class quota_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_messages_test);
    CPPUNIT_TEST(every_field_round_trips);
    CPPUNIT_TEST(malformed_variants_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static constexpr quota::lender_epoch epoch{.record = 3, .handover = 4};
    const quota::daemon_ref first_daemon{.id = "vm-a1", .incarnation = 5};
    const quota::daemon_ref second_daemon{.id = "vm-b1", .incarnation = 6};

    template <typename Message>
    void check(const Message& message)
    {
        const auto decoded = decode_variant<quota_message>(encode_variant(quota_message{message}));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(std::get<Message>(*decoded) == message);
    }

public:
    void every_field_round_trips()
    {
        this->check(quota::loan_request{.lender_zone = "a",
                                        .sender_zone = "b",
                                        .sender = first_daemon,
                                        .from_lender = true,
                                        .sender_epoch = epoch,
                                        .number = 7,
                                        .revisions = {8, 9},
                                        .items = {{.tenant = "serra",
                                                   .epoch = epoch,
                                                   .loan_id = 10,
                                                   .applied_seq = 11,
                                                   .held_rate = 12,
                                                   .held_capacity = 13,
                                                   .held_tokens = 14,
                                                   .returned_tokens = 15,
                                                   .demand = 16,
                                                   .wanted_tokens = 17}}});
        this->check(quota::loan_grant{.lender_zone = "a",
                                      .epoch = epoch,
                                      .receiver = first_daemon,
                                      .to_lender = true,
                                      .receiver_epoch = epoch,
                                      .request_number = 18,
                                      .items = {{.tenant = "serra",
                                                 .loan_id = 19,
                                                 .seq = 20,
                                                 .rate = 21,
                                                 .capacity = 22,
                                                 .tokens = 23,
                                                 .term = std::chrono::seconds{3},
                                                 .one_shot = true,
                                                 .denied_for = std::chrono::milliseconds{24}}}});
        this->check(quota::promise_request{.zone = "a",
                                           .from = first_daemon,
                                           .to = second_daemon,
                                           .epoch = epoch,
                                           .number = 25,
                                           .term = std::chrono::seconds{4}});
        this->check(quota::promise_answer{.zone = "a",
                                          .from = second_daemon,
                                          .to = first_daemon,
                                          .epoch = epoch,
                                          .number = 26,
                                          .term = std::chrono::seconds{4},
                                          .for_good = true});
        const quota::part part{.rate = 27, .capacity = 28, .tokens = 29};
        this->check(quota::handover{.zone = "a",
                                    .epoch = epoch,
                                    .from = first_daemon,
                                    .to = second_daemon,
                                    .promise_number = 30,
                                    .authority_lasts = std::chrono::seconds{31},
                                    .loans_lapse_after = std::chrono::seconds{3},
                                    .revisions = {{.revision = 32, .zones = {"a", "b"}}},
                                    .tenants = {{"serra", {.base = part, .unlent = part, .lent = part}}}});
    }

    void malformed_variants_are_rejected()
    {
        const auto bytes =
            encode_variant(quota_message{handover_acknowledgement{.zone = "a", .epoch = epoch}});
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            CPPUNIT_ASSERT(!decode_variant<quota_message>(std::span{bytes}.first(size)));
        }
        auto unknown = bytes;
        unknown.front() = 100;
        CPPUNIT_ASSERT(!decode_variant<quota_message>(unknown));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_messages_test);

} // namespace laburnumreach::protocol
