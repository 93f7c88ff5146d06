#include "laburnumreach/idempotency/claim_committer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::idempotency
{

class repeated_update_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(repeated_update_test);
    CPPUNIT_TEST(an_update_is_acknowledged_each_time);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a committer that still counts an answered update as waiting: the repetition of a
    /// release whose acknowledgement was lost read past the end of the waiting updates and ended the daemon.
    void an_update_is_acknowledged_each_time()
    {
        const process_id owner{.incarnation = 7, .daemon = "vm-1"};
        claim_committer committer{
            {}, {.incarnation = 8, .daemon = "vm-2"}, [](const process_id&) { return true; }};
        const claim_update release{.key = make_claim_key("serra", "sheets/validate", "key-1"),
                                   .token = {.owner = owner, .sequence = 1},
                                   .kind = claim_update_kind::released};
        core::time_point now = core::time_point{} + std::chrono::seconds{10};
        for (int repetition = 0; repetition < 3; ++repetition)
        {
            claim_outbox out = committer.receive(now, release);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.calls.size());
            CPPUNIT_ASSERT(out.calls.front().kind == store_call_kind::read);
            out = committer.complete(now, {.id = out.calls.front().id, .status = store_status::not_found});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.messages.size());
            CPPUNIT_ASSERT(std::holds_alternative<claim_acknowledgement>(out.messages.front().message));
            now += std::chrono::seconds{1};
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_update_test);

} // namespace laburnumreach::idempotency
