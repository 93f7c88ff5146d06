#include "laburnumreach/quota/lender.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace laburnumreach::quota
{

using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1h};
constexpr std::int64_t token = micro_tokens_per_token;

std::shared_ptr<const quota_revision> revision(std::uint64_t number, std::int64_t tokens,
                                               std::vector<std::string> zones = {"a"})
{
    return std::make_shared<const quota_revision>(quota_revision{
        .revision = number, .zones = std::move(zones), .tenants = {{"t", {tokens * token, tokens * token}}}});
}

lender make_lender(core::time_point start_after = start, bool full = true)
{
    lender result{{.zone = "a",
                   .self = {"lender", 1},
                   .epoch = {1, 0},
                   .start_after = start_after,
                   .terms = {},
                   .rate_margin_ppm = 0,
                   .start_full = full},
                  start};
    result.set_authority(start + 1h);
    result.configure(revision(1, 40), start);
    return result;
}

loan_request ask(std::uint64_t number, std::int64_t wanted, const std::string& daemon = "vm")
{
    loan_request request;
    request.lender_zone = request.sender_zone = "a";
    request.sender = {daemon, 1};
    request.number = number;
    request.items.emplace_back();
    request.items.back().tenant = "t";
    request.items.back().wanted_tokens = wanted * token;
    request.items.back().demand = wanted * token;
    return request;
}

loan_request acknowledge(std::uint64_t number, const loan_grant_item& grant, std::int64_t returned)
{
    loan_request request = ask(number, 0);
    request.items.back().epoch = {1, 0};
    request.items.back().loan_id = grant.loan_id;
    request.items.back().applied_seq = grant.seq;
    request.items.back().returned_tokens = returned;
    return request;
}

loan_grant_item granted(const lender::output& out)
{
    CPPUNIT_ASSERT(out.grants.size() == 1 && out.grants.front().items.size() == 1);
    return out.grants.front().items.front();
}

} // namespace

/// Guards against a lender that lends a part twice, creates tokens, or acts without authority.
class lender_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lender_test);
    CPPUNIT_TEST(acts_only_with_authority);
    CPPUNIT_TEST(a_part_is_deducted_until_the_loan_has_lapsed_for_certain);
    CPPUNIT_TEST(a_repeated_or_overtaken_request_is_not_served);
    CPPUNIT_TEST(returned_tokens_need_capacity_that_comes_back);
    CPPUNIT_TEST(tokens_without_capacity_are_not_taken_back);
    CPPUNIT_TEST(tokens_on_the_way_keep_their_capacity);
    CPPUNIT_TEST(a_late_call_accrues_only_while_the_zone_loan_counted);
    CPPUNIT_TEST(a_lowered_quota_shrinks_loans_at_renewal);
    CPPUNIT_TEST(a_handover_passes_on_what_is_left_and_counts_what_is_lent);
    CPPUNIT_TEST_SUITE_END();

public:
    void acts_only_with_authority()
    {
        lender late = make_lender(start + 5s);
        CPPUNIT_ASSERT(late.receive(ask(1, 1), start + 5s - 1ns).grants.empty());
        CPPUNIT_ASSERT(!late.receive(ask(1, 1), start + 5s).grants.empty());
        // A paused lender finds its authority ended.
        CPPUNIT_ASSERT(late.receive(ask(2, 1), start + 1h).grants.empty());
        CPPUNIT_ASSERT(!late.stop({"next", 1}, start + 1h));
    }

    void a_part_is_deducted_until_the_loan_has_lapsed_for_certain()
    {
        lender lending = make_lender();
        const loan_grant_item grant = granted(lending.receive(ask(1, 10), start));
        CPPUNIT_ASSERT(grant.tokens >= 10 * token && grant.term == 3s);
        tenant_pool& pool = *lending.find_pool("t");
        const core::time_point lapse = start + safe_lapse(3s, 250ms);
        CPPUNIT_ASSERT(pool.lent(lapse - 1ns).capacity == grant.capacity);
        const std::int64_t before = pool.unlent(lapse - 1ns).capacity;
        CPPUNIT_ASSERT(before == 40 * token - grant.capacity);
        // The capacity returns empty: the bucket was full before and holds no more now.
        CPPUNIT_ASSERT(pool.unlent(lapse).capacity == 40 * token);
        CPPUNIT_ASSERT(pool.unlent(lapse).tokens <= before + 1);
    }

    void a_repeated_or_overtaken_request_is_not_served()
    {
        lender lending = make_lender();
        CPPUNIT_ASSERT(!lending.receive(ask(5, 1), start).grants.empty());
        CPPUNIT_ASSERT(lending.receive(ask(5, 1), start).grants.empty());
        CPPUNIT_ASSERT(lending.receive(ask(4, 1), start).grants.empty());
    }

    void returned_tokens_need_capacity_that_comes_back()
    {
        struct return_case
        {
            std::uint64_t seq_offset; // acknowledges a grant that was never sent
            std::int64_t returned;
            std::int64_t accepted;
        };
        const return_case cases[] = {{0, 3, 3}, {0, 1000, 10}, {1, 3, 0}, {0, -5, 0}};
        for (const return_case& entry : cases)
        {
            lender lending = make_lender();
            loan_grant_item grant = granted(lending.receive(ask(1, 10), start));
            const std::int64_t left = lending.find_pool("t")->unlent(start).tokens;
            grant.seq += entry.seq_offset;
            const loan_grant_item answer =
                granted(lending.receive(acknowledge(2, grant, entry.returned * token), start));
            const std::int64_t now_left = lending.find_pool("t")->unlent(start).tokens + answer.tokens;
            const std::int64_t most = std::min(entry.accepted * token, grant.capacity);
            CPPUNIT_ASSERT(entry.returned > 10 ? now_left == left + grant.capacity : now_left == left + most);
        }
    }

    void tokens_without_capacity_are_not_taken_back()
    {
        lender lending = make_lender(start, false);
        const loan_grant_item grant = granted(lending.receive(ask(1, 10), start));
        CPPUNIT_ASSERT(grant.capacity > 0 && grant.tokens == 0);
        loan_request request = acknowledge(2, grant, 3 * token);
        request.items.back().held_capacity = grant.capacity;
        const loan_grant_item answer = granted(lending.receive(request, start));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lending.find_pool("t")->unlent(start).tokens + answer.tokens);
    }

    void tokens_on_the_way_keep_their_capacity()
    {
        lent_loan loan{1};
        const core::time_point until = start + 3s;
        const std::uint64_t first = loan.grant(5, 10 * token, 10 * token, until);
        CPPUNIT_ASSERT(loan.outstanding_after(start).capacity == 10 * token);
        // Tokens without more capacity may come on top of a full bucket.
        const std::uint64_t second = loan.grant(5, 10 * token, 4 * token, until + 1s);
        CPPUNIT_ASSERT(loan.outstanding_after(start).capacity == 14 * token);
        loan.acknowledge(first, 5, 10 * token);
        CPPUNIT_ASSERT(loan.outstanding_after(start).capacity == 14 * token);
        // A shrink counts only once it is acknowledged or the level before it has lapsed.
        loan.grant(1, 2 * token, 0, until + 2s);
        loan.acknowledge(second, 5, 10 * token);
        CPPUNIT_ASSERT(loan.outstanding_after(start).capacity == 10 * token);
        CPPUNIT_ASSERT(loan.outstanding_after(until + 1s).capacity == 2 * token);
    }

    void a_late_call_accrues_only_while_the_zone_loan_counted()
    {
        tenant_pool pool{{}, start};
        pool.set_base({.rate = 0, .capacity = 40 * token}, start);
        pool.set_other_zones({"b"}, pooling::none, {});
        loan_grant_item grant;
        grant.loan_id = grant.seq = 1;
        grant.rate = 10 * token;
        grant.term = 3s;
        pool.apply_zone("b", {1, 0}, grant, start, start);
        // A lender that was paused finds the tokens of the time up to the cut, and no rate any more.
        const std::int64_t until_cut_ms = (3s - safe_lapse(1200ms, 250ms)) / 1ms;
        CPPUNIT_ASSERT_EQUAL(until_cut_ms * token / 100, pool.unlent(start + 10s).tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, pool.unlent(start + 10s).rate);
    }

    void a_lowered_quota_shrinks_loans_at_renewal()
    {
        lender lending = make_lender();
        const loan_grant_item grant = granted(lending.receive(ask(1, 30), start));
        lending.configure(revision(2, 4), start);
        CPPUNIT_ASSERT(lending.find_pool("t")->in_excess(start));
        const loan_grant_item shrunk = granted(lending.receive(acknowledge(2, grant, 0), start));
        CPPUNIT_ASSERT(shrunk.capacity <= 4 * token && shrunk.rate <= 4 * token);
        CPPUNIT_ASSERT(!lending.find_pool("t")->in_excess(start));
    }

    void a_handover_passes_on_what_is_left_and_counts_what_is_lent()
    {
        lender lending = make_lender();
        const loan_grant_item grant = granted(lending.receive(ask(1, 10), start));
        const auto message = lending.stop({"next", 1}, start);
        CPPUNIT_ASSERT(message && lending.receive(ask(2, 1), start).grants.empty());
        lender next{{.zone = "a",
                     .self = {"next", 1},
                     .epoch = {1, 1},
                     .start_after = start,
                     .terms = {},
                     .rate_margin_ppm = 0},
                    *message,
                    start};
        next.set_authority(start + 1h);
        CPPUNIT_ASSERT(next.find_pool("t")->base().capacity == 40 * token);
        next.configure(revision(1, 40), start);
        CPPUNIT_ASSERT(next.find_pool("t")->unlent(start).tokens == 40 * token - grant.tokens);
        CPPUNIT_ASSERT(next.find_pool("t")->lent(start).capacity == grant.capacity);
        CPPUNIT_ASSERT(next.find_pool("t")->unlent(start + 4s).capacity == 40 * token);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lender_test);

} // namespace laburnumreach::quota
