#include "laburnumreach/quota/token_bucket.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

namespace laburnumreach::quota
{

using namespace std::chrono_literals;

/// Guards against tokens that rounding, splits or long pauses create.
class token_bucket_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(token_bucket_test);
    CPPUNIT_TEST(slow_rates_lose_nothing_to_rounding);
    CPPUNIT_TEST(tokens_stop_at_the_capacity_after_any_pause);
    CPPUNIT_TEST(split_and_absorb_conserve_sums);
    CPPUNIT_TEST(an_earlier_time_adds_nothing);
    CPPUNIT_TEST(wait_for_a_token_is_exact);
    CPPUNIT_TEST_SUITE_END();

    static constexpr core::time_point start{1h};

public:
    void slow_rates_lose_nothing_to_rounding()
    {
        // One micro-token in three seconds, polled every millisecond.
        token_bucket bucket{{.rate = 1, .capacity = micro_tokens_per_token, .tokens = 0}, start};
        for (int step = 1; step <= 3000; ++step)
        {
            bucket.accrue(start + step * 1ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, bucket.contents().tokens);
    }

    void tokens_stop_at_the_capacity_after_any_pause()
    {
        const std::int64_t high = 1'000'000 * micro_tokens_per_token;
        token_bucket bucket{{.rate = high, .capacity = 5 * micro_tokens_per_token, .tokens = 0}, start};
        const core::time_point later = start + 24h * 365;
        for (int request = 0; request < 5; ++request)
        {
            CPPUNIT_ASSERT(bucket.try_spend(later));
        }
        CPPUNIT_ASSERT(!bucket.try_spend(later));
    }

    void split_and_absorb_conserve_sums()
    {
        struct split_case
        {
            part initial;
            part wanted;
        };
        const std::int64_t most = std::numeric_limits<std::int64_t>::max();
        const split_case cases[] = {
            {{10, 20, 20}, {3, 5, 5}},   // more tokens left than the rest can hold must go along
            {{10, 20, 20}, {3, 5, 0}},   //
            {{10, 20, 7}, {100, 5, 50}}, // more wanted than there is
            {{10, 20, 7}, {0, 0, 3}},    // tokens without capacity cannot travel
            {{10, 20, 7}, {-4, -2, -1}}, // negative wishes
            {{10, 20, 7}, {most, most, most}},
        };
        for (const split_case& entry : cases)
        {
            token_bucket bucket{entry.initial, start};
            const part taken = bucket.split(entry.wanted, start);
            CPPUNIT_ASSERT(taken + bucket.contents() == entry.initial);
            CPPUNIT_ASSERT(taken.tokens <= taken.capacity && taken.tokens >= 0 && taken.rate >= 0);
            CPPUNIT_ASSERT(bucket.contents().tokens <= bucket.contents().capacity);
            bucket.absorb(taken, start);
            CPPUNIT_ASSERT(bucket.contents() == entry.initial);
        }
    }

    void an_earlier_time_adds_nothing()
    {
        token_bucket bucket{{.rate = micro_tokens_per_token, .capacity = micro_tokens_per_token, .tokens = 0},
                            start};
        bucket.accrue(start - 10s);
        CPPUNIT_ASSERT(!bucket.try_spend(start));
        CPPUNIT_ASSERT(bucket.try_spend(start + 1s));
    }

    void wait_for_a_token_is_exact()
    {
        token_bucket bucket{{.rate = 3'000'000, .capacity = 2 * micro_tokens_per_token, .tokens = 0}, start};
        const core::duration wait = bucket.time_until(micro_tokens_per_token);
        CPPUNIT_ASSERT(!bucket.try_spend(start + wait - 1ns));
        CPPUNIT_ASSERT(bucket.try_spend(start + wait));
        CPPUNIT_ASSERT(bucket.time_until(3 * micro_tokens_per_token) == core::duration::max());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(token_bucket_test);

} // namespace laburnumreach::quota
