#include "laburnumreach/quota/lender_authority.hpp"
#include "laburnumreach/quota/successor_promise.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::quota
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};
const daemon_ref holder{"holder", 1};
const daemon_ref first{"first", 1};
const daemon_ref second{"second", 1};
constexpr lender_epoch epoch{1, 0};

lender_authority holder_of_record(const std::optional<daemon_ref>& successor)
{
    lender_authority authority{"a", holder, epoch, {}};
    authority.write_sent(1, successor, start);
    authority.write_confirmed(1);
    return authority;
}

/// Asks the daemons that may be successor and takes the answers of those given.
void exchange(lender_authority& authority, const std::vector<successor_promise*>& promisers,
              core::time_point now)
{
    for (const promise_request& request : authority.poll(now))
    {
        for (successor_promise* promiser : promisers)
        {
            if (const auto answer = promiser->receive(request, now))
            {
                authority.receive(*answer, now);
            }
        }
    }
}

} // namespace

/// Guards against two lenders of one zone with authority at the same instant.
class authority_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(authority_test);
    CPPUNIT_TEST(without_a_successor_the_lease_counts_from_the_sending);
    CPPUNIT_TEST(a_promise_lapses_at_the_lender_first);
    CPPUNIT_TEST(a_change_of_successor_in_doubt_needs_both_promises);
    CPPUNIT_TEST(an_attempt_and_a_promise_exclude_each_other);
    CPPUNIT_TEST(a_released_successor_never_takes_over);
    CPPUNIT_TEST(a_handover_needs_a_certain_record_and_is_taken_once);
    CPPUNIT_TEST(the_orphan_limit_travels_with_a_handover);
    CPPUNIT_TEST_SUITE_END();

public:
    void without_a_successor_the_lease_counts_from_the_sending()
    {
        lender_authority authority{"a", holder, epoch, {}};
        authority.write_sent(1, std::nullopt, start);
        CPPUNIT_ASSERT(authority.valid_until() == core::time_point::min());
        authority.write_confirmed(1);
        CPPUNIT_ASSERT(authority.valid_until() == start + 6s);
        authority.write_sent(2, std::nullopt, start + 2s);
        CPPUNIT_ASSERT(authority.valid_until() == start + 6s);
        authority.write_confirmed(2);
        CPPUNIT_ASSERT(authority.valid_until() == start + 8s);
        CPPUNIT_ASSERT(lease_lapses_at({}, start + 2s) > authority.valid_until());
        authority.lost();
        CPPUNIT_ASSERT(authority.valid_until() == core::time_point::min());
    }

    void a_promise_lapses_at_the_lender_first()
    {
        lender_authority authority = holder_of_record(first);
        CPPUNIT_ASSERT(authority.valid_until() == core::time_point::min());
        successor_promise promise{"a", first, {}};
        const promise_request request = authority.poll(start).front();
        // The answer is late; the lender still counts from its request.
        const auto answer = promise.receive(request, start + 1s);
        authority.receive(*answer, start + 3s);
        CPPUNIT_ASSERT(authority.valid_until() == start + 4s);
        CPPUNIT_ASSERT(promise.may_take_over_after(start - 1h) == start + 1s + safe_lapse(4s, 250ms));
        // A repeated answer to the same request extends nothing.
        authority.receive(*answer, start + 3900ms);
        CPPUNIT_ASSERT(authority.valid_until() == start + 4s);
    }

    void a_change_of_successor_in_doubt_needs_both_promises()
    {
        successor_promise old_one{"a", first, {}};
        successor_promise new_one{"a", second, {}};
        lender_authority authority = holder_of_record(first);
        exchange(authority, {&old_one}, start);
        // The answer to this write is lost: the platform may name either.
        authority.write_sent(2, second, start + 1s);
        CPPUNIT_ASSERT(authority.valid_until() == core::time_point::min());
        exchange(authority, {&new_one}, start + 1s);
        CPPUNIT_ASSERT(authority.valid_until() == start + 4s);
        exchange(authority, {&new_one}, start + 5s);
        CPPUNIT_ASSERT(authority.valid_until() == start + 4s);
        authority.write_confirmed(2);
        CPPUNIT_ASSERT(authority.valid_until() == start + 9s);
    }

    void an_attempt_and_a_promise_exclude_each_other()
    {
        successor_promise promise{"a", first, {}};
        const promise_request request{
            .zone = "a", .from = holder, .to = first, .epoch = epoch, .number = 1, .term = 4s};
        CPPUNIT_ASSERT(promise.receive(request, start));
        CPPUNIT_ASSERT(!promise.begin_takeover(start - 1h, start + 4s));
        const core::time_point lapsed = promise.may_take_over_after(start - 1h);
        CPPUNIT_ASSERT(promise.begin_takeover(start - 1h, lapsed));
        CPPUNIT_ASSERT(!promise.receive(request, lapsed));
        CPPUNIT_ASSERT(!promise.release());
        promise.takeover_failed();
        CPPUNIT_ASSERT(promise.receive(request, lapsed));
    }

    void a_released_successor_never_takes_over()
    {
        successor_promise promise{"a", first, {}};
        lender_authority authority = holder_of_record(first);
        exchange(authority, {&promise}, start);
        authority.receive(*promise.release(), start);
        CPPUNIT_ASSERT(authority.valid_until() == core::time_point::max());
        CPPUNIT_ASSERT(!promise.begin_takeover(start, start + 24h));
        CPPUNIT_ASSERT(!authority.handover_target());
    }

    void a_handover_needs_a_certain_record_and_is_taken_once()
    {
        successor_promise promise{"a", first, {}};
        lender_authority authority = holder_of_record(first);
        exchange(authority, {&promise}, start);
        authority.write_sent(2, second, start);
        CPPUNIT_ASSERT(!authority.handover_target());
        authority.write_rejected(2);
        CPPUNIT_ASSERT(authority.handover_target() == first);
        handover message;
        message.zone = "a";
        message.epoch = epoch;
        message.from = holder;
        message.to = first;
        const auto accepted = promise.accept(message);
        CPPUNIT_ASSERT(accepted && accepted->epoch == (lender_epoch{1, 1}));
        CPPUNIT_ASSERT(accepted->until == core::time_point::max());
        // A copy that arrives after the role was passed on must not bring it back.
        promise.resign();
        CPPUNIT_ASSERT(!promise.accept(message));
    }

    void the_orphan_limit_travels_with_a_handover()
    {
        authority_terms terms;
        terms.orphan_limit = 600s;
        successor_promise promise{"a", first, terms};
        lender_authority authority{"a", holder, epoch, terms};
        authority.write_sent(1, first, start);
        authority.write_confirmed(1);
        exchange(authority, {&promise}, start + 100s);
        handover message;
        message.zone = "a";
        message.epoch = epoch;
        message.from = holder;
        message.to = first;
        authority.describe(message);
        const auto accepted = promise.accept(message);
        CPPUNIT_ASSERT(accepted && accepted->until == start + 590s);
        CPPUNIT_ASSERT(orphan_lapses_at(terms, start) > start + 600s);
        CPPUNIT_ASSERT(orphan_lapses_at({}, start) == core::time_point::max());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(authority_test);

} // namespace laburnumreach::quota
