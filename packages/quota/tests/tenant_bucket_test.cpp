#include "laburnumreach/quota/tenant_bucket.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::quota
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};
constexpr std::int64_t token = micro_tokens_per_token;
constexpr lender_epoch first_epoch{1, 0};

loan_grant_item loan_of(std::int64_t tokens, std::uint64_t loan_id = 1, std::uint64_t seq = 1)
{
    loan_grant_item grant;
    grant.loan_id = loan_id;
    grant.seq = seq;
    grant.capacity = tokens * token;
    grant.tokens = tokens * token;
    grant.term = 3s;
    return grant;
}

int spend_all(tenant_bucket& bucket, core::time_point now)
{
    int spent = 0;
    while (bucket.try_spend(now).result == spend_result::spent)
    {
        ++spent;
    }
    return spent;
}

} // namespace

/// Guards against a borrower that spends what it no longer holds, or names the wrong reason for a refusal.
class tenant_bucket_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(tenant_bucket_test);
    CPPUNIT_TEST(a_loan_lapses_from_the_sending_of_the_request);
    CPPUNIT_TEST(only_new_grants_are_applied);
    CPPUNIT_TEST(the_loan_before_a_handover_stays_valid);
    CPPUNIT_TEST(a_refusal_names_whether_the_lender_answered);
    CPPUNIT_TEST(a_one_shot_loan_is_given_back_when_spent);
    CPPUNIT_TEST(a_shrink_returns_the_tokens_cut_off);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_loan_lapses_from_the_sending_of_the_request()
    {
        tenant_bucket bucket;
        CPPUNIT_ASSERT(!bucket.apply(first_epoch, loan_of(5), start, start + 3s));
        CPPUNIT_ASSERT_EQUAL(0, spend_all(bucket, start + 3s));
        bucket.apply(first_epoch, loan_of(5), start, start + 2s);
        CPPUNIT_ASSERT(bucket.try_spend(start + 3s - 1ns).result == spend_result::spent);
        CPPUNIT_ASSERT_EQUAL(0, spend_all(bucket, start + 3s));
    }

    void only_new_grants_are_applied()
    {
        struct grant_case
        {
            lender_epoch epoch;
            std::uint64_t loan_id;
            std::uint64_t seq;
            int spent;
        };
        const lender_epoch older{0, 9};
        const lender_epoch newer{1, 1};
        // Each follows a grant of epoch {1, 0}, loan 2 and sequence number 2, whose tokens are spent.
        const grant_case cases[] = {
            {first_epoch, 2, 3, 4}, {first_epoch, 2, 2, 0}, {first_epoch, 2, 1, 0}, {first_epoch, 1, 9, 0},
            {first_epoch, 3, 1, 4}, {older, 3, 9, 0},       {newer, 1, 1, 4},
        };
        for (const grant_case& entry : cases)
        {
            tenant_bucket bucket;
            bucket.apply(first_epoch, loan_of(4, 2, 2), start, start);
            CPPUNIT_ASSERT_EQUAL(4, spend_all(bucket, start));
            bucket.apply(entry.epoch, loan_of(4, entry.loan_id, entry.seq), start, start);
            CPPUNIT_ASSERT_EQUAL(entry.spent, spend_all(bucket, start));
        }
    }

    void the_loan_before_a_handover_stays_valid()
    {
        tenant_bucket bucket;
        bucket.apply(first_epoch, loan_of(3), start, start);
        bucket.apply({1, 1}, loan_of(2), start + 1s, start + 1s);
        CPPUNIT_ASSERT(bucket.holdings(start + 1s).tokens == 5 * token);
        CPPUNIT_ASSERT(bucket.holdings(start + 3s).tokens == 2 * token);
    }

    void a_refusal_names_whether_the_lender_answered()
    {
        tenant_bucket bucket;
        CPPUNIT_ASSERT(bucket.try_spend(start).result == spend_result::wait);
        CPPUNIT_ASSERT(bucket.report(start)->wanted_tokens == token);
        CPPUNIT_ASSERT(bucket.give_up(start + 30ms).why == core::reason::quota_unavailable);

        CPPUNIT_ASSERT(bucket.try_spend(start + 1s).result == spend_result::wait);
        loan_grant_item denial = loan_of(0);
        denial.denied_for = 100ms;
        CPPUNIT_ASSERT(bucket.apply(first_epoch, denial, start + 1s, start + 1s + 1ms));
        const spend_decision refused = bucket.retry_spend(start + 1s + 1ms);
        CPPUNIT_ASSERT(refused.result == spend_result::refused && refused.why == core::reason::rate_exceeded);
        CPPUNIT_ASSERT(refused.retry_after == 100ms);
    }

    void a_one_shot_loan_is_given_back_when_spent()
    {
        tenant_bucket bucket;
        loan_grant_item grant = loan_of(1);
        grant.one_shot = true;
        bucket.apply(first_epoch, grant, start, start);
        CPPUNIT_ASSERT(bucket.try_spend(start).notify);
        const auto item = bucket.report(start);
        CPPUNIT_ASSERT(item && item->held_capacity == 0 && item->applied_seq == 1);
    }

    void a_shrink_returns_the_tokens_cut_off()
    {
        tenant_bucket bucket;
        bucket.apply(first_epoch, loan_of(10), start, start);
        loan_grant_item shrunk = loan_of(4, 1, 2);
        shrunk.tokens = 0;
        bucket.apply(first_epoch, shrunk, start, start);
        const auto item = bucket.report(start + 1s);
        CPPUNIT_ASSERT(item && item->returned_tokens == 6 * token && item->held_tokens == 4 * token);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tenant_bucket_test);

} // namespace laburnumreach::quota
